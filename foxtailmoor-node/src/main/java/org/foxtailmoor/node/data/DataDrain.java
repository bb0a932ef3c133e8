package org.foxtailmoor.node.data;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shuts down the data side gracefully, without interrupting a request. Each tick advances the
 * shutdown when the conditions of the current step are met.
 *
 * <ol>
 *   <li>Callers are still served, because the target's own requests come through this node, and
 *       each answer closes its connection. During the first part of this step the target still gets
 *       requests, since callers need that time to find another node and the target may be healthy.
 *   <li>When the target has no requests left and other nodes have had time to react, the caller
 *       port stops listening.
 *   <li>When every caller has its answer, the node port stops listening and the links are closed.
 * </ol>
 *
 * <p>At the end of the shutdown window, requests that are still open get an answer that says
 * whether they may have run, and everything is closed.
 */
final class DataDrain {
    private static final Logger LOGGER = LoggerFactory.getLogger(DataDrain.class);

    /**
     * Time for other nodes to stop sending requests, and for callers to get an answer that closes
     * their connection. Connections that are idle throughout are closed afterwards.
     */
    static final long NOTICE_PERIOD_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time for other nodes to close their links to this node once no request is open. They do so on
     * receipt of the last answer, which the operating system already holds and delivers even after
     * the process exits.
     */
    static final long LINK_CLOSE_TIMEOUT_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    private enum Step {
        SERVING,
        NOTIFYING,
        CLOSING_CALLERS,
        CLOSING_LINKS,
        CLOSED
    }

    private final Ticker mTicker;
    private final ShutdownWindow mWindow;
    private final HomeGateway mHome;
    private final EntryGateway mEntry;
    private final CallerServer mCallers;
    private final LinkServer mLinkServer;
    private final Links mLinks;
    private final long mTargetDrainDelayNanoseconds;
    private final Runnable mTargetStoppedListener;
    private Step mStep = Step.SERVING;
    private long mStepStartedNanoseconds;
    private CompletableFuture<Void> mDrained;

    /**
     * Creates a drain that has not started.
     *
     * @param window started together with the drain
     * @param targetDrainDelayNanoseconds time after the start in which the target still gets
     *     requests
     * @param targetStoppedListener called when the target stops getting requests
     */
    DataDrain(
            Ticker ticker,
            ShutdownWindow window,
            HomeGateway home,
            EntryGateway entry,
            CallerServer callers,
            LinkServer linkServer,
            Links links,
            long targetDrainDelayNanoseconds,
            Runnable targetStoppedListener) {
        mTicker = ticker;
        mWindow = window;
        mTargetDrainDelayNanoseconds = targetDrainDelayNanoseconds;
        mTargetStoppedListener = targetStoppedListener;
        mHome = home;
        mEntry = entry;
        mCallers = callers;
        mLinkServer = linkServer;
        mLinks = links;
    }

    /**
     * Starts the drain; if it has started already, only registers the future.
     *
     * @param endNanoseconds ticker time at which open requests are ended
     * @param drained future to complete at the end of the drain
     */
    void start(long endNanoseconds, CompletableFuture<Void> drained) {
        if (mStep == Step.CLOSED) {
            drained.complete(null);
            return;
        }
        if (mDrained != null) {
            mDrained.thenAccept(drained::complete);
            return;
        }
        mDrained = drained;
        mWindow.start(endNanoseconds);
        mCallers.leave();
        enterStep(Step.NOTIFYING);
        stopTargetWorkWhenDue();
    }

    /** Advances to the next step if the conditions of the current one are met. */
    void tick() {
        if (isActive() && mWindow.hasEnded()) {
            endOpenRequests();
            closeNow();
            return;
        }
        switch (mStep) {
            case NOTIFYING -> {
                stopTargetWorkWhenDue();
                if (hasElapsedInStep(NOTICE_PERIOD_NANOSECONDS) && mHome.isIdle()) {
                    mCallers.stop();
                    enterStep(Step.CLOSING_CALLERS);
                }
            }
            case CLOSING_CALLERS -> {
                mCallers.stop();
                boolean callersDone = mEntry.openRequests() == 0 && mCallers.openConnections() == 0;
                if (callersDone && mLinkServer.isIdle()) {
                    mLinkServer.stop();
                    mLinks.close();
                    enterStep(Step.CLOSING_LINKS);
                }
            }
            case CLOSING_LINKS -> {
                if (mLinkServer.openLinks() == 0
                        || hasElapsedInStep(LINK_CLOSE_TIMEOUT_NANOSECONDS)) {
                    closeNow();
                }
            }
            default -> {
                // Not started, or finished.
            }
        }
    }

    /** Returns whether the drain has started and not finished. */
    boolean isActive() {
        return mStep != Step.SERVING && mStep != Step.CLOSED;
    }

    /** The home comes first, so that what is queued there is still answered as not run. */
    private void endOpenRequests() {
        LOGGER.warn(
                "the shutdown period is over, ending {} requests of callers and {} at the target",
                mEntry.openRequests(),
                mHome.openRequests());
        mHome.endOpenRequests();
        mCallers.endOpenRequests();
    }

    /** Closes everything immediately. */
    void closeNow() {
        mCallers.stop();
        mCallers.closeAll();
        mLinkServer.stop();
        mLinkServer.closeLinks();
        mLinks.close();
        enterStep(Step.CLOSED);
        if (mDrained != null) {
            mDrained.complete(null);
        }
    }

    private void stopTargetWorkWhenDue() {
        if (!mHome.isLeaving() && hasElapsedInStep(mTargetDrainDelayNanoseconds)) {
            mHome.leave();
            mTargetStoppedListener.run();
            mLinkServer.sendGoingAway();
        }
    }

    private boolean hasElapsedInStep(long nanoseconds) {
        return mTicker.nanoTime() - mStepStartedNanoseconds >= nanoseconds;
    }

    private void enterStep(Step step) {
        mStep = step;
        mStepStartedNanoseconds = mTicker.nanoTime();
    }
}
