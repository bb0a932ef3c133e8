package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/** Fingerprints of the requests that a target has answered last. Not thread-safe. */
final class AnsweredFingerprints {
    /** Maximum number of fingerprints; those answered longest ago are evicted first. */
    static final int LIMIT = 4_096;

    private final Ticker mTicker;
    private final Map<Fingerprint, Long> mAnswered =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Fingerprint, Long> eldest) {
                    return size() > LIMIT;
                }
            };

    AnsweredFingerprints(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Records an answer that is received now. */
    void add(Fingerprint fingerprint) {
        mAnswered.remove(fingerprint);
        mAnswered.put(fingerprint, mTicker.nanoTime());
    }

    /** Returns whether a fingerprint was answered less than a duration ago. */
    boolean wasAnsweredWithin(Fingerprint fingerprint, long nanoseconds) {
        Long answered = mAnswered.get(fingerprint);
        return answered != null && mTicker.nanoTime() - answered < nanoseconds;
    }
}
