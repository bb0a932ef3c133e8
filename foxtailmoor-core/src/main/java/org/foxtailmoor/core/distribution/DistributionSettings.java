package org.foxtailmoor.core.distribution;

/**
 * Settings of document distribution. Times are in milliseconds.
 *
 * @param fanOut children of an inner node of a tree, 1 to 64
 * @param readersPerZone nodes in each zone of the source's region that watch the source, 1 to 16
 * @param exchangeMilliseconds mean time between exchanges with random peers, 100 to 60,000
 * @param fetchDelayMilliseconds time to wait for a pushed update before fetching it, 1 to 10,000
 * @param sourceCallsPerSecond source calls per second of the whole fleet for takeovers and
 *     startups, 1 to 2,000
 */
public record DistributionSettings(
        int fanOut,
        int readersPerZone,
        int exchangeMilliseconds,
        int fetchDelayMilliseconds,
        int sourceCallsPerSecond) {
    /** Default settings. */
    public static final DistributionSettings DEFAULT = builder().build();

    /** Validates the ranges. */
    public DistributionSettings {
        requireRange("fanOut", fanOut, 1, 64);
        requireRange("readersPerZone", readersPerZone, 1, 16);
        requireRange("exchangeMilliseconds", exchangeMilliseconds, 100, 60_000);
        requireRange("fetchDelayMilliseconds", fetchDelayMilliseconds, 1, 10_000);
        requireRange("sourceCallsPerSecond", sourceCallsPerSecond, 1, 2_000);
    }

    /** Returns a builder with the defaults. */
    public static Builder builder() {
        return new Builder();
    }

    private static void requireRange(String name, int value, int low, int high) {
        if (value < low || value > high) {
            throw new IllegalArgumentException(
                    name + " must be " + low + " to " + high + ", is " + value);
        }
    }

    /** Builds settings. */
    public static final class Builder {
        private int mFanOut = 4;
        private int mReadersPerZone = 2;
        private int mExchangeMilliseconds = 1_000;
        private int mFetchDelayMilliseconds = 150;
        private int mSourceCallsPerSecond = 200;

        private Builder() {}

        /** Sets the number of children of an inner node of a tree, default 4. */
        public Builder fanOut(int value) {
            mFanOut = value;
            return this;
        }

        /**
         * Sets the number of nodes in each zone of the source's region that watch the source,
         * default 2.
         */
        public Builder readersPerZone(int value) {
            mReadersPerZone = value;
            return this;
        }

        /** Sets the mean time between exchanges, default 1,000 ms. */
        public Builder exchangeMilliseconds(int value) {
            mExchangeMilliseconds = value;
            return this;
        }

        /** Sets the time to wait for a pushed update before fetching it, default 150 ms. */
        public Builder fetchDelayMilliseconds(int value) {
            mFetchDelayMilliseconds = value;
            return this;
        }

        /**
         * Sets the source calls per second of the whole fleet for takeovers and startups, default
         * 200.
         */
        public Builder sourceCallsPerSecond(int value) {
            mSourceCallsPerSecond = value;
            return this;
        }

        /**
         * Returns the settings.
         *
         * @throws IllegalArgumentException if a value is out of range
         */
        public DistributionSettings build() {
            return new DistributionSettings(
                    mFanOut,
                    mReadersPerZone,
                    mExchangeMilliseconds,
                    mFetchDelayMilliseconds,
                    mSourceCallsPerSecond);
        }
    }
}
