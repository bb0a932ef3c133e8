package org.foxtailmoor.standins.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Collects the results of one kind of request. Safe for several threads. */
public final class KindResult {
    private static final long LONGEST_MICROSECONDS = TimeUnit.SECONDS.toMicros(120);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double MEDIAN = 50;
    private static final double NINETY_NINE = 99;
    private static final double MICROSECONDS_PER_MILLISECOND = 1_000;

    private final LoadKind mKind;
    private final Map<Verdict, Long> mVerdicts = new EnumMap<>(Verdict.class);
    private final Map<String, Long> mErrors = new TreeMap<>();
    private final Histogram mLatencies = new Histogram(LONGEST_MICROSECONDS, SIGNIFICANT_DIGITS);
    private final Set<String> mRightIds = new HashSet<>();
    private final Set<String> mNotRunIds = new HashSet<>();
    private long mSent;

    KindResult(LoadKind kind) {
        mKind = kind;
    }

    /** Returns the kind. */
    public LoadKind kind() {
        return mKind;
    }

    synchronized void addSent() {
        mSent++;
    }

    /**
     * Adds the end of one request.
     *
     * @param request request
     * @param verdict judgement of its answer
     * @param error short name of the error, empty for a right answer
     * @param latencyNanoseconds time from the planned arrival to the end
     */
    synchronized void add(
            LoadRequest request, Verdict verdict, String error, long latencyNanoseconds) {
        mVerdicts.merge(verdict, 1L, Long::sum);
        if (!error.isEmpty()) {
            mErrors.merge(error, 1L, Long::sum);
        }
        if (verdict == Verdict.RIGHT) {
            long microseconds = TimeUnit.NANOSECONDS.toMicros(latencyNanoseconds);
            mLatencies.recordValue(Math.max(0, Math.min(LONGEST_MICROSECONDS, microseconds)));
        }
        if (mKind.isRecorded() && verdict == Verdict.RIGHT) {
            mRightIds.add(request.id());
        }
        if (mKind.isRecorded() && verdict == Verdict.NOT_RUN) {
            mNotRunIds.add(request.id());
        }
    }

    /** Returns the number of answers with a verdict. */
    public synchronized long count(Verdict verdict) {
        return mVerdicts.getOrDefault(verdict, 0L);
    }

    /** Returns the number of requests that were sent. */
    public synchronized long sent() {
        return mSent;
    }

    /** Returns a percentile of the latencies of right answers in milliseconds. */
    public synchronized double latencyMilliseconds(double percentile) {
        return mLatencies.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    }

    /** Returns the ids of recorded requests with right answers, as a copy. */
    public synchronized Set<String> rightIds() {
        return Set.copyOf(mRightIds);
    }

    /** Returns the ids of recorded requests that were stated not to have run, as a copy. */
    public synchronized Set<String> notRunIds() {
        return Set.copyOf(mNotRunIds);
    }

    /**
     * Returns the results as a JSON object.
     *
     * @param seconds time over which the requests arrived, above 0
     */
    public synchronized ObjectNode toJson(double seconds) {
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("kind", mKind.name())
                        .put("weight", mKind.weight())
                        .put("sent", mSent);
        for (Verdict verdict : Verdict.values()) {
            json.put(verdict.name().toLowerCase(Locale.ROOT), count(verdict));
        }
        json.put("offered_per_second", mSent / seconds)
                .put("goodput_per_second", count(Verdict.RIGHT) / seconds)
                .put("weighted_goodput_per_second", count(Verdict.RIGHT) * mKind.weight() / seconds)
                .put("p50_milliseconds", latencyMilliseconds(MEDIAN))
                .put("p99_milliseconds", latencyMilliseconds(NINETY_NINE))
                .put("max_milliseconds", mLatencies.getMaxValue() / MICROSECONDS_PER_MILLISECOND);
        ObjectNode errors = json.putObject("errors");
        mErrors.forEach(errors::put);
        return json;
    }
}
