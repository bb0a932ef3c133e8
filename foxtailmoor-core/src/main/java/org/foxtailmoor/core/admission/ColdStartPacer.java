package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Limits the starts at a target that may be cold in any sliding second. The limit does not apply
 * while there is a recent proof that the target is warm: a health check that the target answered as
 * warm. A target may turn cold at any moment, so a proof holds only for a short time and for a
 * number of starts that a cold target bears. Confined to the data loop.
 *
 * <p>The state is bounded: it consists of the times of as many starts as the limit permits.
 */
public final class ColdStartPacer implements StartPacer {
    /** Time for which an answer to a health check proves that the target is warm. */
    public static final long PROOF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Number of starts after a proof that are permitted even if the limit is lower; half of the
     * default slack of the platform. A proof for one or two starts would need a health check for
     * each request.
     */
    public static final int MIN_STARTS_PER_PROOF = 4;

    /** Largest limit, which bounds the memory of the recorded starts to 80 KB. */
    static final int MAX_LIMIT = 10_000;

    /**
     * The second of the rule, and a margin because one request may take longer than the next from
     * its start to its arrival at the target. A tick of the data loop is 20 ms.
     */
    private static final long WINDOW_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(1_025);

    /**
     * Assumed time until a proof while nothing indicates that the target is cold. A health check on
     * the same machine takes a few milliseconds; it is sent at the latest with the next tick.
     */
    private static final long EXPECTED_PROOF_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(20);

    /**
     * Largest delay between a start and its arrival that extends the window. The requests of a home
     * that takes longer are not on time anyway.
     */
    private static final long MAX_SEND_DELAY_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /** Time for which a delay is expected again: the starts of two windows. */
    private static final long SEND_DELAY_EFFECT_NANOSECONDS = 2 * WINDOW_NANOSECONDS;

    private static final int RATIO_PERCENT = 75;
    private static final int PERCENT = 100;
    private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Ticker mTicker;
    private final double mOverage;
    private int mLimit;
    private boolean mProvable;

    /** Times of the last starts; a start is at its number modulo the length. */
    private long[] mStarts = {};

    private long mStarted;
    private boolean mProven;
    private long mProofNanoseconds;
    private long mStartedAtProof;
    private long mCheckNanoseconds;
    private long mStartedAtCheck;
    private boolean mRestricted;
    private long mRestrictedUntilNanoseconds;
    private boolean mStartDelayed;
    private long mDelayedStarts;
    private long mSendDelayNanoseconds;
    private long mSendDelayMeasuredNanoseconds;

    private ColdStartPacer(Ticker ticker, double overage) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mOverage = overage;
    }

    /**
     * Creates a pacer without a limit.
     *
     * @param ticker clock, not null
     * @param overage factor by which the starts may exceed the rate of a cold target
     */
    public static ColdStartPacer of(Ticker ticker, double overage) {
        return new ColdStartPacer(ticker, overage);
    }

    /**
     * Sets the rate that a cold target bears.
     *
     * @param startsPerSecond starts per second, 0 for no limit
     * @param provable whether the target has a health check that can prove that it is warm
     */
    public void setRate(double startsPerSecond, boolean provable) {
        mProvable = provable;
        int limit =
                startsPerSecond <= 0
                        ? 0
                        : (int) Math.max(1, Math.min(MAX_LIMIT, startsPerSecond * mOverage));
        if (limit == mLimit) {
            return;
        }
        long[] starts = new long[limit];
        long kept = Math.min(mStarted, Math.min(limit, mStarts.length));
        for (long number = mStarted - kept; number < mStarted; number++) {
            starts[(int) (number - mStarted + kept)] = mStarts[(int) (number % mStarts.length)];
        }
        mStarts = starts;
        mStarted = kept;
        mLimit = limit;
        mProven = false;
        // A check in flight then counts all recorded starts, which is at least the true number.
        mStartedAtCheck = 0;
    }

    /** Returns whether starts are limited without a proof. */
    public boolean isLimited() {
        return mLimit > 0;
    }

    /**
     * Records the time between a start and its arrival at the target: a connection may have to be
     * opened, and the code of a new process is slow. If the requests of one window arrive late and
     * those of the next do not, a second would hold both without a longer window.
     *
     * @param delayNanoseconds time from the start until the request was written to the target
     */
    public void onSent(long delayNanoseconds) {
        long now = mTicker.nanoTime();
        boolean expired = now - mSendDelayMeasuredNanoseconds >= SEND_DELAY_EFFECT_NANOSECONDS;
        if (expired || delayNanoseconds >= mSendDelayNanoseconds) {
            mSendDelayNanoseconds = Math.min(delayNanoseconds, MAX_SEND_DELAY_NANOSECONDS);
            mSendDelayMeasuredNanoseconds = now;
        }
    }

    /** Records that a health check is sent to the target now. */
    public void onCheckSent() {
        mCheckNanoseconds = mTicker.nanoTime();
        mStartedAtCheck = mStarted;
    }

    /** Records that the target answered the last health check as warm. */
    public void proveWarm() {
        mProven = true;
        mProofNanoseconds = mCheckNanoseconds;
        mStartedAtProof = mStartedAtCheck;
        mRestricted = false;
    }

    /** Drops the proof, if there is one: the target may have turned cold or restarted. */
    public void dropProof() {
        mProven = false;
    }

    /**
     * Records that no proof is expected for some time, because the target is cold or does not
     * answer. Until then, the waits that {@link #delayNanoseconds} returns are those of the limit.
     *
     * @param untilNanoseconds ticker time of the end
     */
    public void restrictUntil(long untilNanoseconds) {
        mRestricted = true;
        mRestrictedUntilNanoseconds = untilNanoseconds;
    }

    /** Returns whether more starts are permitted than a cold target bears. */
    public boolean hasProof() {
        return mProven
                && mTicker.nanoTime() - mProofNanoseconds < PROOF_NANOSECONDS
                && mStarted - mStartedAtProof < startsPerProof();
    }

    /**
     * Returns whether the proof has expired or has used up half of its time or three quarters of
     * its starts.
     */
    public boolean needsProof() {
        return !hasProof()
                || 2 * (mTicker.nanoTime() - mProofNanoseconds) >= PROOF_NANOSECONDS
                || mStarted - mStartedAtProof >= mostOf(startsPerProof());
    }

    /** Returns whether the starts of the last second are at least three quarters of the limit. */
    public boolean isNearLimit() {
        int number = mostOf(mLimit);
        return mLimit > 0
                && mStarted >= number
                && mTicker.nanoTime() - startTime(mStarted - number) < windowNanoseconds();
    }

    /** Returns the number of starts that were delayed by the limit. */
    public long delayedStarts() {
        return mDelayedStarts;
    }

    @Override
    public boolean mayStart() {
        boolean permitted = delayNanoseconds(0) == 0;
        mStartDelayed |= !permitted;
        return permitted;
    }

    @Override
    public long delayNanoseconds(int ahead) {
        if (mLimit == 0 || hasProof()) {
            return 0;
        }
        long delay = limitDelayNanoseconds(ahead);
        return isRestricted() ? delay : Math.min(delay, EXPECTED_PROOF_NANOSECONDS);
    }

    @Override
    public void onStarted() {
        if (mLimit == 0) {
            return;
        }
        mStarts[(int) (mStarted % mLimit)] = mTicker.nanoTime();
        mStarted++;
        mDelayedStarts += mStartDelayed ? 1 : 0;
        mStartDelayed = false;
    }

    @Override
    public double startsPerSecond() {
        return mLimit > 0 && isRestricted() && !hasProof()
                ? mLimit * NANOSECONDS_PER_SECOND / windowNanoseconds()
                : Double.POSITIVE_INFINITY;
    }

    private boolean isRestricted() {
        return !mProvable || mRestricted && mTicker.nanoTime() - mRestrictedUntilNanoseconds < 0;
    }

    /** Returns three quarters of a number of starts, rounded up. */
    private static int mostOf(int starts) {
        return (starts * RATIO_PERCENT + PERCENT - 1) / PERCENT;
    }

    private int startsPerProof() {
        return Math.max(mLimit, MIN_STARTS_PER_PROOF);
    }

    /** Returns the time until a start is permitted without a proof. */
    private long limitDelayNanoseconds(int ahead) {
        // The start may follow the one that is as many starts earlier as the limit after a window.
        long earlier = mStarted + ahead % mLimit - mLimit;
        long rounds = ahead / mLimit;
        long now = mTicker.nanoTime();
        long window = windowNanoseconds();
        long untilFree = earlier < 0 ? 0 : Math.max(0, startTime(earlier) + window - now);
        return untilFree + rounds * window;
    }

    private long windowNanoseconds() {
        long age = mTicker.nanoTime() - mSendDelayMeasuredNanoseconds;
        return WINDOW_NANOSECONDS
                + (age < SEND_DELAY_EFFECT_NANOSECONDS ? mSendDelayNanoseconds : 0);
    }

    /** Returns the ticker time of one of the recorded starts. */
    private long startTime(long number) {
        return mStarts[(int) (number % mLimit)];
    }
}
