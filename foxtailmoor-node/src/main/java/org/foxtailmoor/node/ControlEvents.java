package org.foxtailmoor.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.ServiceView;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.node.control.ControlListener;
import org.foxtailmoor.node.data.DataSide;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Passes the results of the control side to the data side: builds the routing snapshot on the
 * control loop and hands over immutable values only.
 */
final class ControlEvents implements ControlListener {
    private final SnapshotReference<RoutingSnapshot> mSnapshots;
    private final Runnable mLeave;
    private volatile ViewLease mLease = ViewLease.NONE;
    private DataSide mData;

    /**
     * Creates the receiver.
     *
     * @param snapshots where snapshots are published, not null
     * @param leave called when the instance list says that this instance is leaving, not null
     */
    ControlEvents(SnapshotReference<RoutingSnapshot> snapshots, Runnable leave) {
        mSnapshots = snapshots;
        mLeave = leave;
    }

    /** Sets the data side; must be called before the control side starts. */
    void connect(DataSide data) {
        mData = data;
    }

    /** Returns the last lease of the control side, safe to call from any thread. */
    ViewLease lease() {
        return mLease;
    }

    /** Returns the ids of the upstreams that the instance list in force calls leaving. */
    Collection<String> leavingUpstreams() {
        SnapshotReference.Use<RoutingSnapshot> use = mSnapshots.acquire();
        List<String> leaving = new ArrayList<>();
        for (ServiceView service : use.value().services().values()) {
            for (Upstream upstream : service.upstreams()) {
                if (upstream.leaving()) {
                    leaving.add(upstream.id());
                }
            }
        }
        use.release();
        return leaving;
    }

    @Override
    public void onDocuments(
            CatalogueSnapshot catalogue,
            DocumentVersion instancesVersion,
            List<Instance> instances) {
        if (mSnapshots.publish(RoutingSnapshot.of(catalogue, instancesVersion, instances))) {
            mData.onPublished();
        }
    }

    @Override
    public void onViewLease(ViewLease lease) {
        mLease = lease;
    }

    @Override
    public void onCrashReports(List<CrashReport> reports) {
        mData.onCrashReports(reports);
    }

    @Override
    public void onReady() {
        mData.onReady();
    }

    @Override
    public void onListedAsLeaving() {
        mLeave.run();
    }
}
