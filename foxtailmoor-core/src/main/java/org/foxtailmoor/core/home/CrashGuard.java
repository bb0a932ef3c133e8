package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.Collection;
import java.util.List;
import org.foxtailmoor.protocol.generated.CrashReport;

/**
 * Counts the target crashes of request fingerprints over the nodes of one service. Belongs to the
 * data loop.
 */
public final class CrashGuard {
    /** Says how a request with a fingerprint may run. */
    public enum Verdict {
        /** The request may run beside others. */
        CLEAR,
        /** The request must run alone. */
        SUSPECT,
        /** The request must not run. */
        POISONED
    }

    private CrashGuard() {}

    /** Creates a guard without counts; no argument may be null. */
    public static CrashGuard of(Ticker ticker, String serviceId, String instanceId) {
        return new CrashGuard();
    }

    /**
     * Returns how a request may run, with the service's crash limit; a limit below 1 counts as 1.
     */
    public Verdict verdict(Fingerprint fingerprint, int crashLimit) {
        throw new UnsupportedOperationException();
    }

    /** Counts a crash of the own target with the request in flight. */
    public void crashed(Fingerprint fingerprint) {
        throw new UnsupportedOperationException();
    }

    /** Clears a fingerprint whose request has completed alone. */
    public void completedAlone(Fingerprint fingerprint) {
        throw new UnsupportedOperationException();
    }

    /** Merges reports of other nodes; own, foreign-service and malformed reports are ignored. */
    public void merge(Collection<CrashReport> reports) {
        throw new UnsupportedOperationException();
    }

    /** Returns the own reports to send, the newest first, at most 16; immutable messages. */
    public List<CrashReport> reports() {
        throw new UnsupportedOperationException();
    }

    /** Runs the system over all fingerprints: forgets those whose time has passed. */
    public void tick() {
        throw new UnsupportedOperationException();
    }
}
