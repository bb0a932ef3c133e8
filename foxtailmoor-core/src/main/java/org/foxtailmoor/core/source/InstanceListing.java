package org.foxtailmoor.core.source;

import java.util.List;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * One revision of the instance list.
 *
 * @param revision revision of the list, unsigned
 * @param instances instances that are live or leaving; copied
 */
public record InstanceListing(long revision, List<Instance> instances) {
    /** Copies the list. */
    public InstanceListing {
        instances = List.copyOf(instances);
    }
}
