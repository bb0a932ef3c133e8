package org.foxtailmoor.node.control;

import java.util.List;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;

/** Receives the results of the control side, on the control loop. Must not block. */
public interface ControlListener {
    /**
     * Called when the catalogue or the instance list in force has changed.
     *
     * @param catalogue catalogue in force, empty before the first
     * @param instancesVersion version of the instance list in force
     * @param instances instances of that list, immutable
     */
    void onDocuments(
            CatalogueSnapshot catalogue,
            DocumentVersion instancesVersion,
            List<Instance> instances);

    /** Called on each control tick with the lease of the node's own service. */
    void onViewLease(ViewLease lease);

    /** Called with crash reports of other nodes of the same service. */
    void onCrashReports(List<CrashReport> reports);

    /** Called once, when the start has finished and the node may serve. */
    void onReady();

    /** Called when the instance list says that this instance is leaving. */
    void onListedAsLeaving();
}
