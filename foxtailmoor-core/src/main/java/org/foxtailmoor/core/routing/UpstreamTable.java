package org.foxtailmoor.core.routing;

import io.netty.util.concurrent.Ticker;
import org.foxtailmoor.protocol.generated.Load;

/**
 * Holds what the entry knows about each upstream: load, failures, leaving marks and link state.
 * Belongs to the data loop.
 */
public final class UpstreamTable {
    private UpstreamTable(Ticker ticker) {}

    /** Creates an empty table on a ticker, which must not be null. */
    public static UpstreamTable of(Ticker ticker) {
        return new UpstreamTable(ticker);
    }

    /**
     * Adds rows for new upstreams and removes rows of those that left the snapshot. Upstreams of
     * the first update count as warm; later ones get slow start.
     */
    public void update(RoutingSnapshot snapshot) {
        throw new UnsupportedOperationException();
    }

    /** Runs the systems over all rows: load decay, service means and slow start. */
    public void tick() {
        throw new UnsupportedOperationException();
    }

    /** Records the load that an answer or refusal carried. An unknown id is ignored. */
    public void reportLoad(String id, Load load) {
        throw new UnsupportedOperationException();
    }

    /** Records a failure, after which the upstream is avoided for a time that grows. */
    public void reportFailure(String id) {
        throw new UnsupportedOperationException();
    }

    /** Records a success, which ends the avoidance after failures. */
    public void reportSuccess(String id) {
        throw new UnsupportedOperationException();
    }

    /** Marks an upstream that said GoingAway or refused as LEAVING. */
    public void markLeaving(String id) {
        throw new UnsupportedOperationException();
    }

    /** Records the state of the link to an upstream; FAILED also counts as a failure. */
    public void setLinkState(String id, LinkState state) {
        throw new UnsupportedOperationException();
    }

    /** Returns the state of the link to an upstream, {@link LinkState#UNOPENED} if unknown. */
    public LinkState linkState(String id) {
        throw new UnsupportedOperationException();
    }

    /** Counts an attempt that this entry has sent to an upstream. */
    public void attemptStarted(String id) {
        throw new UnsupportedOperationException();
    }

    /** Counts the end of an attempt that this entry has sent to an upstream. */
    public void attemptEnded(String id) {
        throw new UnsupportedOperationException();
    }

    /**
     * Returns the expected load of an upstream as a share of its slots, at least 0; the mean of its
     * service if no load is known.
     */
    public double load(String id) {
        throw new UnsupportedOperationException();
    }

    /** Returns the number of rows. */
    public int size() {
        throw new UnsupportedOperationException();
    }
}
