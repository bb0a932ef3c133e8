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
 * Forwards the events of the control plane to the data plane. Routing snapshots are built on the
 * control loop; only immutable values are passed between the event loops.
 */
final class ControlEventForwarder implements ControlListener {
    private final SnapshotReference<RoutingSnapshot> mSnapshots;
    private final Runnable mOnListedAsLeaving;
    private volatile ViewLease mLease = ViewLease.NONE;
    private DataSide mDataSide;

    /**
     * Creates a forwarder.
     *
     * @param snapshots reference to which routing snapshots are published, not null
     * @param onListedAsLeaving called when the instance list marks this instance as leaving, not
     *     null
     */
    ControlEventForwarder(
            SnapshotReference<RoutingSnapshot> snapshots, Runnable onListedAsLeaving) {
        mSnapshots = snapshots;
        mOnListedAsLeaving = onListedAsLeaving;
    }

    /** Sets the data plane. Must be called before the control plane is started. */
    void setDataSide(DataSide dataSide) {
        mDataSide = dataSide;
    }

    /** Returns the latest view lease. May be called from any thread. */
    ViewLease lease() {
        return mLease;
    }

    /** Returns the ids of the upstreams that the active instance list marks as leaving. */
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
            mDataSide.onPublished();
        }
    }

    @Override
    public void onViewLease(ViewLease lease) {
        mLease = lease;
    }

    @Override
    public void onCrashReports(List<CrashReport> reports) {
        mDataSide.onCrashReports(reports);
    }

    @Override
    public void onReady() {
        mDataSide.onReady();
    }

    @Override
    public void onListedAsLeaving() {
        mOnListedAsLeaving.run();
    }
}
