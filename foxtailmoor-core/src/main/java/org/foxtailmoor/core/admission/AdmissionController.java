package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import org.foxtailmoor.protocol.generated.Load;

/**
 * Owns the slots of one target. Classes share the slots by weight; within a class the earliest
 * deadline runs first. Belongs to the data loop.
 */
public final class AdmissionController implements AdmissionPolicy {
    private AdmissionController(Ticker ticker, int slots) {}

    /**
     * Creates a controller.
     *
     * @param ticker clock, not null
     * @param slots concurrent requests of the target, at least 1
     */
    public static AdmissionController of(Ticker ticker, int slots) {
        return new AdmissionController(ticker, slots);
    }

    @Override
    public void submit(Work work) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void complete(Work work) {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean cancel(Work work) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void tick() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void leave() {
        throw new UnsupportedOperationException();
    }

    @Override
    public boolean isIdle() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void resize(int slots) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Load load() {
        throw new UnsupportedOperationException();
    }
}
