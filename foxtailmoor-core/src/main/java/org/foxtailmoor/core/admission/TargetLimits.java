package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.Objects;

/**
 * Limits that an admission policy applies to one target.
 *
 * @param concurrency how many requests run at once
 * @param pacer how soon requests start
 * @param callLimits kinds of request whose calls fail
 * @param bodies bytes of long bodies that run at once
 */
public record TargetLimits(
        ConcurrencyLimit concurrency,
        StartPacer pacer,
        CallFailureLimits callLimits,
        TargetBodies bodies) {
    /** Checks that no component is null. */
    public TargetLimits {
        Objects.requireNonNull(concurrency, "concurrency");
        Objects.requireNonNull(pacer, "pacer");
        Objects.requireNonNull(callLimits, "callLimits");
        Objects.requireNonNull(bodies, "bodies");
    }

    /**
     * Creates a builder. Without further settings, all slots run and nothing else limits starts.
     *
     * @param ticker clock, not null
     */
    public static Builder builder(Ticker ticker) {
        return new Builder(ticker);
    }

    /** Builds limits; no argument may be null. */
    public static final class Builder {
        private ConcurrencyLimit mConcurrency = ConcurrencyLimit.fixed();
        private StartPacer mPacer = StartPacer.NONE;
        private CallFailureLimits mCallLimits;
        private TargetBodies mBodies = TargetBodies.unlimited();

        private Builder(Ticker ticker) {
            mCallLimits = CallFailureLimits.of(ticker);
        }

        /** Sets the limit of the requests that run at once. */
        public Builder setConcurrency(ConcurrencyLimit concurrency) {
            mConcurrency = concurrency;
            return this;
        }

        /** Sets the limit of how soon requests start. */
        public Builder setPacer(StartPacer pacer) {
            mPacer = pacer;
            return this;
        }

        /** Sets the limits of kinds of request whose calls fail. */
        public Builder setCallLimits(CallFailureLimits callLimits) {
            mCallLimits = callLimits;
            return this;
        }

        /** Sets the limit of the bytes of long bodies that run at the target at once. */
        public Builder setBodies(TargetBodies bodies) {
            mBodies = bodies;
            return this;
        }

        /** Creates the limits. */
        public TargetLimits build() {
            return new TargetLimits(mConcurrency, mPacer, mCallLimits, mBodies);
        }
    }
}
