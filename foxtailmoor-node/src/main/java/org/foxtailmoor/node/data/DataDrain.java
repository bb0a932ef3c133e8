package org.foxtailmoor.node.data;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Ends the data side without cutting a request, step by step on ticks.
 *
 * <ol>
 *   <li>Callers are served and get answers that end their connections, because the target's own
 *       calls come through this node. Work for the target is still taken for the first part of this
 *       time, since callers need it to find another node and the target may be sound.
 *   <li>When the target has no work left and other nodes had time to notice, the ports stop
 *       listening.
 *   <li>When every caller has its answer, the links close.
 * </ol>
 */
final class DataDrain {
    /**
     * Time in which other nodes stop sending work and callers get an answer that ends their
     * connection. Connections without a request in this time are closed afterwards.
     */
    static final long NOTICE_NANOSECONDS = TimeUnit.SECONDS.toNanos(2);

    /**
     * Time that other nodes have to close their links to this node when nothing is open. They do so
     * as soon as they have the last answer; it was handed to the system before and is not lost when
     * the process ends.
     */
    private static final long LINK_CLOSE_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(500);

    private enum Step {
        SERVING,
        NOTICE,
        CALLERS,
        LINKS,
        CLOSED
    }

    private final Ticker mTicker;
    private final HomeGateway mHome;
    private final EntryGateway mEntry;
    private final CallerServer mCallers;
    private final LinkServer mLinkServer;
    private final Links mLinks;
    private final long mTargetNanoseconds;
    private final Runnable mTargetListener;
    private Step mStep = Step.SERVING;
    private long mStepNanoseconds;
    private CompletableFuture<Void> mDrained;

    /**
     * Creates a drain that has not started.
     *
     * @param targetNanoseconds time for which the target still gets work after the start
     * @param targetListener is called when the target gets no work any more
     */
    DataDrain(
            Ticker ticker,
            HomeGateway home,
            EntryGateway entry,
            CallerServer callers,
            LinkServer linkServer,
            Links links,
            long targetNanoseconds,
            Runnable targetListener) {
        mTicker = ticker;
        mTargetNanoseconds = targetNanoseconds;
        mTargetListener = targetListener;
        mHome = home;
        mEntry = entry;
        mCallers = callers;
        mLinkServer = linkServer;
        mLinks = links;
    }

    /**
     * Starts the drain; does nothing if it has started.
     *
     * @param drained completed at the end of the drain
     */
    void start(CompletableFuture<Void> drained) {
        if (mStep == Step.CLOSED) {
            drained.complete(null);
            return;
        }
        if (mDrained != null) {
            mDrained.thenAccept(drained::complete);
            return;
        }
        mDrained = drained;
        mCallers.leave();
        enter(Step.NOTICE);
        leaveTargetWhenDue();
    }

    /** Goes on to the next step when the conditions of this one hold. */
    void tick() {
        switch (mStep) {
            case NOTICE -> {
                leaveTargetWhenDue();
                if (hasLasted(NOTICE_NANOSECONDS) && mHome.isIdle()) {
                    mCallers.stop();
                    enter(Step.CALLERS);
                }
            }
            case CALLERS -> {
                mCallers.stop();
                boolean served = mEntry.openRequests() == 0 && mCallers.openConnections() == 0;
                if (served && mLinkServer.isIdle()) {
                    mLinkServer.close();
                    mLinks.close();
                    enter(Step.LINKS);
                }
            }
            case LINKS -> {
                if (mLinkServer.openLinks() == 0 || hasLasted(LINK_CLOSE_NANOSECONDS)) {
                    closeNow();
                }
            }
            default -> {
                // Nothing to do before the start and after the end.
            }
        }
    }

    /** Closes everything at once. */
    void closeNow() {
        mCallers.stop();
        mCallers.closeAll();
        mLinkServer.close();
        mLinkServer.closeLinks();
        mLinks.close();
        enter(Step.CLOSED);
        if (mDrained != null) {
            mDrained.complete(null);
        }
    }

    private void leaveTargetWhenDue() {
        if (!mHome.isLeaving() && hasLasted(mTargetNanoseconds)) {
            mHome.leave();
            mTargetListener.run();
            mLinkServer.sendGoingAway();
        }
    }

    private boolean hasLasted(long nanoseconds) {
        return mTicker.nanoTime() - mStepNanoseconds >= nanoseconds;
    }

    private void enter(Step step) {
        mStep = step;
        mStepNanoseconds = mTicker.nanoTime();
    }
}
