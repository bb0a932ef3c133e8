package org.foxtailmoor.node.control;

import java.util.List;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Receives the results of the control plane on the control loop. Implementations must not block.
 */
public interface ControlListener {
    /**
     * Called when a new version of the catalogue or of the instance list has become active.
     *
     * @param catalogue active catalogue, empty before the first version
     * @param instancesVersion version of the active instance list
     * @param instances instances of that list, immutable
     */
    void onDocuments(
            CatalogueSnapshot catalogue,
            DocumentVersion instancesVersion,
            List<Instance> instances);

    /** Called on each control tick with the current view lease for the node's own service. */
    void onViewLease(ViewLease lease);

    /** Called with crash reports that other nodes of the same service sent. */
    void onCrashReports(List<CrashReport> reports);

    /** Called once, when startup has finished and the node may serve requests. */
    void onReady();

    /** Called when the active instance list marks this instance as leaving. */
    void onListedAsLeaving();
}
