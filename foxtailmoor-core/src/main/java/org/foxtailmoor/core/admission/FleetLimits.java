package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import org.foxtailmoor.core.routing.Route;

/**
 * Enforces this home's share of the fleet-wide limits: limit ÷ number of live upstreams of the
 * route's service. Each route has its own share. Belongs to the data loop.
 */
public final class FleetLimits {
    /** Result of {@link #tryAcquire} that admits the request. */
    public static final int ADMITTED = 0;

    private FleetLimits(Ticker ticker) {}

    /** Creates limits without state on a ticker, which must not be null. */
    public static FleetLimits of(Ticker ticker) {
        return new FleetLimits(ticker);
    }

    /**
     * Takes one request from the share of a route. An admitted request ends with {@link #release}.
     *
     * @param route route, not null; without limit it always admits
     * @param liveUpstreams live upstreams of the route's service; less than 1 counts as 1
     * @return {@link #ADMITTED}, or the milliseconds after which another attempt may succeed, at
     *     least 1
     */
    public int tryAcquire(Route route, int liveUpstreams) {
        throw new UnsupportedOperationException();
    }

    /**
     * Ends an admitted request.
     *
     * @param route route, not null
     * @param ran whether the request ran; if not, its token is given back
     */
    public void release(Route route, boolean ran) {
        throw new UnsupportedOperationException();
    }
}
