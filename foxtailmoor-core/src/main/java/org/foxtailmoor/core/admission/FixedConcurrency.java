package org.foxtailmoor.core.admission;

/** Lets all slots of the target run. */
final class FixedConcurrency implements ConcurrencyLimit {
    private int mSlots = 1;

    @Override
    public void setSlots(int slots) {
        mSlots = slots;
    }

    @Override
    public int limit() {
        return mSlots;
    }
}
