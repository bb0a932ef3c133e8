package org.foxtailmoor.core.home;

import java.util.Objects;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/**
 * States until when a majority of the lease group has confirmed a version of the instance list.
 *
 * <p>The lease names its version, so that a lease for a newer list is never used together with an
 * older view that the data loop still holds.
 *
 * @param view version of the instance list that was confirmed, not null
 * @param untilNanoseconds ticker time at which the lease ends; counted from the sending of the
 *     queries that were confirmed, not from the receipt of the answers
 */
public record ViewLease(DocumentVersion view, long untilNanoseconds) {
    /** Checks that the view is not null. */
    public ViewLease {
        Objects.requireNonNull(view, "view");
    }

    /** Returns whether the lease holds for a view at a ticker time. */
    public boolean isHeld(DocumentVersion heldView, long nowNanoseconds) {
        return untilNanoseconds - nowNanoseconds > 0 && view.equals(heldView);
    }
}
