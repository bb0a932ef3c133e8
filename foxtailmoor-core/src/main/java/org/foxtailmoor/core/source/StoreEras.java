package org.foxtailmoor.core.source;

import java.util.List;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.regex.Pattern;

/**
 * Reads the era that a store states with each response. A response that states none, or not exactly
 * one unsigned number of 64 bits, counts as one of the highest era known: a header that an
 * intermediary drops must neither make the node start anew nor refuse the store. Thread-safe.
 */
public final class StoreEras {
    private static final Pattern DIGITS = Pattern.compile("[0-9]{1,20}");

    private final BiConsumer<List<String>, Long> mOnChange;
    private List<String> mStated = List.of();
    private long mHighest;

    /**
     * Creates a reader that has seen no response.
     *
     * @param onChange called with the statement of a response and the era that it counts as, if the
     *     statement differs from that of the response before, not null
     */
    public StoreEras(BiConsumer<List<String>, Long> onChange) {
        mOnChange = Objects.requireNonNull(onChange, "onChange");
    }

    /**
     * Returns the era of a response.
     *
     * @param stated values of the header that states the era, empty if it is absent
     * @return unsigned number, 0 if no era is known yet
     */
    public synchronized long eraOf(List<String> stated) {
        long era = stated.size() == 1 ? parse(stated.get(0)) : mHighest;
        if (!stated.equals(mStated)) {
            mStated = List.copyOf(stated);
            mOnChange.accept(mStated, era);
        }
        observe(era);
        return era;
    }

    /** Records an era that another source has stated. */
    public synchronized void observe(long era) {
        mHighest = Long.compareUnsigned(era, mHighest) > 0 ? era : mHighest;
    }

    private long parse(String text) {
        try {
            return DIGITS.matcher(text).matches() ? Long.parseUnsignedLong(text) : mHighest;
        } catch (NumberFormatException e) {
            // The change of the statement is reported; the number has more than 64 bits.
            return mHighest;
        }
    }
}
