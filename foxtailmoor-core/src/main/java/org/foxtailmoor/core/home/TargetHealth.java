package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.core.admission.ColdStartPacer;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/**
 * Knows whether the target of a node is cold, decides when to send it a health check, and tells the
 * pacer of its starts. The answers of the target decide; its entry in the instance list is late and
 * only makes it cold. Does nothing for services without a limit for cold targets. Confined to the
 * data loop.
 */
public final class TargetHealth {
    /** Timeout of a health check. A later answer would prove nothing any more. */
    public static final long CHECK_TIMEOUT_NANOSECONDS = ColdStartPacer.PROOF_NANOSECONDS;

    /**
     * Longest time until the next check of a target that stated a warm-up time, so that a false
     * statement takes effect only for this time.
     */
    static final long COLD_CHECK_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time from a check without a valid answer to the next one. */
    static final long FAILED_CHECK_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Time after a check without a valid answer for which the home reports less capacity. Under
     * load, the next check fails within it; without load, the home has to get requests again.
     */
    private static final long FAILED_CHECK_EFFECT_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    /** Longest warm-up time that a target can state if its service has none. */
    private static final long MAX_WARM_UP_MILLISECONDS = 60_000;

    private static final char FIRST_PATH_CHARACTER = '!';
    private static final char LAST_PATH_CHARACTER = '~';

    private final Ticker mTicker;
    private final ColdStartPacer mPacer;
    private String mPath = "";
    private long mMaxWarmUpMilliseconds = MAX_WARM_UP_MILLISECONDS;
    private String mInstanceId = "";
    private int mListedWarmUpMilliseconds;
    private boolean mCold;
    private long mColdUntilNanoseconds;
    private boolean mCheckFailing;
    private boolean mChecking;
    private boolean mAnswerOutdated;
    private long mNextCheckNanoseconds;

    private TargetHealth(Ticker ticker, ColdStartPacer pacer) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mPacer = Objects.requireNonNull(pacer, "pacer");
        mNextCheckNanoseconds = ticker.nanoTime();
    }

    /**
     * Creates the state of a target of which nothing is known.
     *
     * @param ticker clock, not null
     * @param pacer pacer of the starts at the target, not null
     */
    public static TargetHealth of(Ticker ticker, ColdStartPacer pacer) {
        return new TargetHealth(ticker, pacer);
    }

    /**
     * Applies the entries of the target and of its service.
     *
     * @param upstream the target in the instance list, null if it is not listed
     * @param service entry of its service, null if there is none
     */
    public void update(Upstream upstream, ServiceEntry service) {
        mPath = service != null && isPath(service.getHealthPath()) ? service.getHealthPath() : "";
        mPacer.setRate(service == null ? 0 : service.getColdRequestsPerSecond(), !mPath.isEmpty());
        if (!mPacer.isLimited()) {
            mCold = false;
            mCheckFailing = false;
            return;
        }
        mMaxWarmUpMilliseconds =
                service.getWarmUpMilliseconds() > 0
                        ? service.getWarmUpMilliseconds()
                        : MAX_WARM_UP_MILLISECONDS;
        String id = upstream == null ? "" : upstream.id();
        if (!id.equals(mInstanceId)) {
            mInstanceId = id;
            mListedWarmUpMilliseconds = 0;
            onTargetLost();
        }
        applyListedWarmUp(upstream == null ? 0 : upstream.warmUpMilliseconds());
    }

    /**
     * Records that a request was written to the target.
     *
     * @param delayNanoseconds time since its start
     */
    public void onRequestSent(long delayNanoseconds) {
        if (mPacer.isLimited()) {
            mPacer.onSent(delayNanoseconds);
        }
    }

    /**
     * Returns the path of a health check to send to the target now, or null. The check is then in
     * flight until its answer or failure is reported. Checks are sent only while about as many
     * requests start as a cold target bears, or more.
     */
    public String startCheckIfDue() {
        boolean due =
                !mChecking
                        && mPacer.isNearLimit()
                        && mPacer.needsProof()
                        && !mPath.isEmpty()
                        && mTicker.nanoTime() - mNextCheckNanoseconds >= 0;
        if (!due) {
            return null;
        }
        mChecking = true;
        mAnswerOutdated = false;
        mPacer.onCheckSent();
        return mPath;
    }

    /**
     * Records the answer to the check in flight. Its status is not considered, because it may be
     * wrong.
     *
     * @param instanceId id of the target that answered, null if the answer has none
     * @param warmUp remaining warm-up time in milliseconds, null if the answer has none
     */
    public void onCheckAnswered(String instanceId, String warmUp) {
        if (mAnswerOutdated) {
            mChecking = false;
            return;
        }
        boolean expected = mInstanceId.isEmpty() || mInstanceId.equals(instanceId);
        long milliseconds = parseWarmUp(warmUp);
        if (!expected || milliseconds < 0) {
            onCheckFailed();
            return;
        }
        mChecking = false;
        mCheckFailing = false;
        if (milliseconds == 0) {
            mCold = false;
            mPacer.proveWarm();
            return;
        }
        turnCold(milliseconds);
        long interval =
                Math.min(
                        COLD_CHECK_INTERVAL_NANOSECONDS,
                        TimeUnit.MILLISECONDS.toNanos(milliseconds));
        mNextCheckNanoseconds = mTicker.nanoTime() + interval;
    }

    /** Records that the check in flight has no valid answer. */
    public void onCheckFailed() {
        mChecking = false;
        mCheckFailing = true;
        mPacer.dropProof();
        long now = mTicker.nanoTime();
        mNextCheckNanoseconds = now + FAILED_CHECK_INTERVAL_NANOSECONDS;
        if (!isCold()) {
            mPacer.restrictUntil(now + FAILED_CHECK_EFFECT_NANOSECONDS);
        }
    }

    /** Records that a connection to the target failed: it may have restarted. */
    public void onTargetLost() {
        mPacer.dropProof();
        mAnswerOutdated = true;
    }

    /** Returns whether the target is cold for all that is known. */
    public boolean isCold() {
        return mCold && mTicker.nanoTime() - mColdUntilNanoseconds < 0;
    }

    /** Returns whether the last check had no valid answer. */
    public boolean isCheckFailing() {
        return mCheckFailing;
    }

    /** Returns the number of starts at the target that were delayed. */
    public long delayedStarts() {
        return mPacer.delayedStarts();
    }

    private void applyListedWarmUp(int milliseconds) {
        boolean turned = milliseconds > mListedWarmUpMilliseconds;
        boolean changed = milliseconds != mListedWarmUpMilliseconds;
        mListedWarmUpMilliseconds = milliseconds;
        // A decreasing time belongs to a warm-up whose end the target may have stated already.
        if (milliseconds > 0 && (turned || changed && !mPacer.hasProof())) {
            turnCold(milliseconds);
        }
    }

    private void turnCold(long milliseconds) {
        long bounded = Math.min(milliseconds, mMaxWarmUpMilliseconds);
        mCold = true;
        mColdUntilNanoseconds = mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(bounded);
        mPacer.dropProof();
        mPacer.restrictUntil(mColdUntilNanoseconds);
    }

    /** Returns the stated time in milliseconds, 0 if the header is absent, -1 if it is invalid. */
    private static long parseWarmUp(String text) {
        if (text == null) {
            return 0;
        }
        try {
            return Math.max(-1, Long.parseLong(text.trim()));
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /** Returns whether a text can be sent as a request path. */
    private static boolean isPath(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (text.charAt(i) < FIRST_PATH_CHARACTER || text.charAt(i) > LAST_PATH_CHARACTER) {
                return false;
            }
        }
        return text.startsWith("/");
    }
}
