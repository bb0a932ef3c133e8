package org.foxtailmoor.node;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingWindowReservoir;
import com.codahale.metrics.Timer;

/**
 * Creates the timers of the delays of event loop ticks. They are updated up to 50 times a second,
 * so they keep the last values in a ring; the default reservoir updates a sorted map each time.
 */
public final class LoopDelayTimer {
    /** Number of ticks, at least 20 s. */
    private static final int WINDOW_TICKS = 1_024;

    private LoopDelayTimer() {}

    /**
     * Returns the timer with a name, creating it if necessary.
     *
     * @param registry registry of the timer, not null
     * @param name name of the metric, not null
     */
    public static Timer register(MetricRegistry registry, String name) {
        return registry.timer(name, () -> new Timer(new SlidingWindowReservoir(WINDOW_TICKS)));
    }
}
