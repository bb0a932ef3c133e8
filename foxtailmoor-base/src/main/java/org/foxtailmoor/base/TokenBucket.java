package org.foxtailmoor.base;

import io.netty.util.concurrent.Ticker;

/**
 * Limits a rate: tokens accrue at a constant rate up to the burst size, and uses consume them.
 *
 * <p>Not thread-safe.
 *
 * <pre>{@code
 * TokenBucket bucket = TokenBucket.of(ticker, 200, 50);
 * if (bucket.tryTake(1)) {
 *     read();
 * }
 * }</pre>
 */
public final class TokenBucket {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final Ticker mTicker;
    private double mTokensPerSecond;
    private double mBurst;
    private double mTokens;
    private long mUpdatedNanoseconds;

    private TokenBucket(Ticker ticker, double tokensPerSecond, double burst) {
        mTicker = ticker;
        mTokensPerSecond = tokensPerSecond;
        mBurst = burst;
        mTokens = burst;
        mUpdatedNanoseconds = ticker.nanoTime();
    }

    /**
     * Creates a full bucket.
     *
     * @param ticker clock, not null
     * @param tokensPerSecond rate, finite and at least 0
     * @param burst maximum number of tokens, finite and at least 0
     * @throws IllegalArgumentException if a number is negative, infinite or not a number
     */
    public static TokenBucket of(Ticker ticker, double tokensPerSecond, double burst) {
        requireFiniteNonNegative(tokensPerSecond, "tokensPerSecond");
        requireFiniteNonNegative(burst, "burst");
        return new TokenBucket(ticker, tokensPerSecond, burst);
    }

    /** Takes tokens if all of them are available, and returns whether it did. */
    public boolean tryTake(double tokens) {
        refill();
        if (mTokens < tokens) {
            return false;
        }
        mTokens -= tokens;
        return true;
    }

    /** Adds tokens, up to the burst. */
    public void give(double tokens) {
        refill();
        mTokens = Math.min(mBurst, mTokens + tokens);
    }

    /** Returns the number of tokens available now. */
    public double available() {
        refill();
        return mTokens;
    }

    /**
     * Changes rate and burst; tokens above the new burst are discarded.
     *
     * @param tokensPerSecond rate, finite and at least 0
     * @param burst maximum number of tokens, finite and at least 0
     */
    public void resize(double tokensPerSecond, double burst) {
        requireFiniteNonNegative(tokensPerSecond, "tokensPerSecond");
        requireFiniteNonNegative(burst, "burst");
        refill();
        mTokensPerSecond = tokensPerSecond;
        mBurst = burst;
        mTokens = Math.min(mTokens, burst);
    }

    /**
     * Returns the nanoseconds until a number of tokens is available, 0 if it is now, and {@link
     * Long#MAX_VALUE} if it never will be.
     */
    public long nanosecondsUntil(double tokens) {
        refill();
        if (mTokens >= tokens) {
            return 0;
        }
        if (tokens > mBurst || mTokensPerSecond == 0) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil((tokens - mTokens) / mTokensPerSecond * NANOSECONDS_PER_SECOND);
    }

    private void refill() {
        long now = mTicker.nanoTime();
        double elapsedSeconds = (now - mUpdatedNanoseconds) / NANOSECONDS_PER_SECOND;
        mUpdatedNanoseconds = now;
        mTokens = Math.min(mBurst, mTokens + elapsedSeconds * mTokensPerSecond);
    }

    private static void requireFiniteNonNegative(double value, String name) {
        if (!(value >= 0) || Double.isInfinite(value)) {
            throw new IllegalArgumentException(
                    name + " must be finite and at least 0, is " + value);
        }
    }
}
