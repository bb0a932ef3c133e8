package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;

/** Lets all slots of the target run, and measures how long work takes there. */
public final class MeasuredSlots implements ConcurrencyLimit {
    private final Ticker mTicker;
    private final WorkTime mWorkTime = new WorkTime();
    private int mSlots = 1;

    private MeasuredSlots(Ticker ticker) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
    }

    /** Creates a limit on a ticker, which must not be null. */
    public static MeasuredSlots of(Ticker ticker) {
        return new MeasuredSlots(ticker);
    }

    @Override
    public void setSlots(int slots) {
        mSlots = slots;
    }

    @Override
    public int limit() {
        return mSlots;
    }

    @Override
    public int workTimePercent() {
        return mWorkTime.percent(mTicker.nanoTime());
    }

    @Override
    public void onTargetLoad(TargetLoad load) {
        mWorkTime.onStated(load.workTimePercent(), mTicker.nanoTime());
    }

    @Override
    public void onCompleted(CompletedRun run) {
        if (!run.failed()) {
            mWorkTime.onCompleted(run.kind(), run.serviceNanoseconds(), mTicker.nanoTime());
        }
    }
}
