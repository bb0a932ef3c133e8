package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

/**
 * Knows whether the target of a node accepts connections, and decides when to probe it. Confined to
 * the data loop.
 *
 * <p>A target is down after a failed connect while no other connection to it is open: a target that
 * only refuses further connections still has open ones. It stays down until a probe connects.
 */
public final class TargetMonitor {
    /** Interval of the probes of a target that is down. */
    public static final long PROBE_INTERVAL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Ticker mTicker;
    private boolean mDown;
    private boolean mProbing;
    private long mProbeNanoseconds;

    private TargetMonitor(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Creates a monitor of a target that is assumed to accept connections. */
    public static TargetMonitor of(Ticker ticker) {
        return new TargetMonitor(ticker);
    }

    /** Returns whether the target accepts no connections. */
    public boolean isDown() {
        return mDown;
    }

    /**
     * Records a connect that failed.
     *
     * @param openConnections number of connections to the target that are open
     * @return whether the target is now known to be down and was not before
     */
    public boolean onConnectFailed(int openConnections) {
        boolean changed = !mDown && openConnections == 0;
        mDown |= changed;
        return changed;
    }

    /**
     * Records a connect that succeeded.
     *
     * @return whether the target was down before
     */
    public boolean onConnected() {
        boolean changed = mDown;
        mDown = false;
        return changed;
    }

    /** Returns whether to probe the target now; the probe is then under way. */
    public boolean startProbeIfDue() {
        if (!mDown || mTicker.nanoTime() - mProbeNanoseconds < PROBE_INTERVAL_NANOSECONDS) {
            return false;
        }
        return startProbe();
    }

    /** Returns whether to probe the target after a crash, unless a probe is under way already. */
    public boolean startProbe() {
        if (mProbing) {
            return false;
        }
        mProbing = true;
        mProbeNanoseconds = mTicker.nanoTime();
        return true;
    }

    /** Records the end of a probe. */
    public void onProbeEnded() {
        mProbing = false;
    }
}
