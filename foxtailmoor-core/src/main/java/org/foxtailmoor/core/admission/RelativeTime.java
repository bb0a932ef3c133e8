package org.foxtailmoor.core.admission;

/**
 * Smoothed ratio of service times to the usual ones, as a natural logarithm. Without new samples it
 * returns to 0, so that a target that was slow is tried again. Not thread-safe.
 */
public final class RelativeTime {
    private final double mWeight;
    private final double mFirstWeight;
    private final double mHoldNanoseconds;
    private final double mHalfLifeNanoseconds;
    private double mLogarithm;
    private long mSampledNanoseconds;
    private long mSamples;

    /**
     * Creates a ratio of 1.
     *
     * @param weight weight of a new sample, above 0 and at most 1
     * @param firstWeight weight of the first sample, and of the first one after the ratio has
     *     started to return to 1; divided by their number for those that follow
     * @param holdNanoseconds time after the last sample in which the ratio is kept
     * @param halfLifeNanoseconds half-life of the logarithm after that time
     */
    public RelativeTime(
            double weight, double firstWeight, long holdNanoseconds, long halfLifeNanoseconds) {
        mWeight = weight;
        mFirstWeight = firstWeight;
        mHoldNanoseconds = holdNanoseconds;
        mHalfLifeNanoseconds = halfLifeNanoseconds;
    }

    /** Adds the logarithm of a ratio, as {@link UsualServiceTimes#add} returns it. */
    public void add(double logarithm, long nowNanoseconds) {
        double known = logarithm(nowNanoseconds);
        boolean isOld = nowNanoseconds - mSampledNanoseconds > mHoldNanoseconds;
        mSamples = isOld ? 1 : mSamples + 1;
        mLogarithm = known + (logarithm - known) * Math.max(mWeight, mFirstWeight / mSamples);
        mSampledNanoseconds = nowNanoseconds;
    }

    /** Returns the natural logarithm of the ratio, 0 before the first sample. */
    public double logarithm(long nowNanoseconds) {
        double decaying = nowNanoseconds - mSampledNanoseconds - mHoldNanoseconds;
        if (mLogarithm == 0 || decaying <= 0) {
            return mLogarithm;
        }
        return mLogarithm * Math.pow(0.5, decaying / mHalfLifeNanoseconds);
    }

    /** Returns the part of a logarithm that exceeds a tolerance in either direction. */
    public static double beyond(double logarithm, double tolerance) {
        return logarithm - Math.max(-tolerance, Math.min(tolerance, logarithm));
    }
}
