package org.foxtailmoor.core.distribution;

import java.util.Objects;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/**
 * Permission of the node to act as home of idempotency keys by one instance list. Immutable; the
 * data loop checks it against the clock at each dispatch.
 *
 * @param instancesVersion version of the instance list that the lease confirms
 * @param held whether a quorum of the lease group has confirmed the version at all
 * @param validUntilNanoseconds reading of the engine's ticker at which the lease ends
 * @param confirmedSinceNanoseconds reading at which a quorum first confirmed an instance list with
 *     the present members of the service in the home region, and since when the lease did not
 *     lapse; the term for a key cannot start earlier, because until then a home by another list may
 *     have held a lease
 */
public record ViewLease(
        DocumentVersion instancesVersion,
        boolean held,
        long validUntilNanoseconds,
        long confirmedSinceNanoseconds) {
    /** Lease that is not held. */
    public static final ViewLease NONE = new ViewLease(DocumentVersions.NONE, false, 0, 0);

    /** Checks that the version is not null. */
    public ViewLease {
        Objects.requireNonNull(instancesVersion, "instancesVersion");
    }

    /**
     * Returns whether the lease holds for an instance list at a moment.
     *
     * @param version version of the instance list by which the caller decides
     * @param nowNanoseconds reading of the engine's ticker
     */
    public boolean isHeld(DocumentVersion version, long nowNanoseconds) {
        return held
                && nowNanoseconds - validUntilNanoseconds < 0
                && instancesVersion.equals(version);
    }
}
