package org.foxtailmoor.core.distribution;

import java.util.Objects;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/**
 * Permission of the node to act as home of idempotency keys under one instance list. Immutable; the
 * data loop checks it against the clock at each dispatch.
 *
 * @param instancesVersion instance list version that the lease is valid for
 * @param held whether a quorum of the lease group has confirmed the version
 * @param validUntilNanoseconds time at which the lease expires, on the engine's ticker
 * @param confirmedSinceNanoseconds time, on the same ticker, since which the lease has been held
 *     without a lapse and with the current members of the service in the home region. The term for
 *     a key cannot start earlier, because until then a home under another instance list may have
 *     held a lease
 */
public record ViewLease(
        DocumentVersion instancesVersion,
        boolean held,
        long validUntilNanoseconds,
        long confirmedSinceNanoseconds) {
    /** A lease that is not held. */
    public static final ViewLease NONE = new ViewLease(DocumentVersions.NONE, false, 0, 0);

    /** Requires a version that is not null. */
    public ViewLease {
        Objects.requireNonNull(instancesVersion, "instancesVersion");
    }

    /**
     * Returns whether the lease is held for an instance list at a given time.
     *
     * @param version instance list version that the caller acts on
     * @param nowNanoseconds current time of the engine's ticker
     */
    public boolean isHeld(DocumentVersion version, long nowNanoseconds) {
        return held
                && nowNanoseconds - validUntilNanoseconds < 0
                && instancesVersion.equals(version);
    }
}
