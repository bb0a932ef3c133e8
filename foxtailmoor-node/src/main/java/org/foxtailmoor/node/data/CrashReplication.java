package org.foxtailmoor.node.data;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.foxtailmoor.core.home.CrashExchanger;
import org.foxtailmoor.core.home.CrashGuard;
import org.foxtailmoor.core.home.CrashTable;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.ServiceView;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.node.NodeSettings;
import org.foxtailmoor.protocol.generated.CrashCount;
import org.foxtailmoor.protocol.generated.CrashExchange;

/**
 * Crash counts of the node's service, logged when they change and exchanged with its other nodes
 * over links. Confined to the data loop.
 */
final class CrashReplication implements CrashTable.Listener {
    private final NodeSettings.NodeSection mNode;
    private final DecisionLog mLog;
    private final Predicate<Upstream> mIsLocal;
    private final CrashTable mTable;
    private final CrashExchanger mExchanger;
    private volatile int mSuspects;
    private volatile int mPoisoned;

    /**
     * Creates an empty replica.
     *
     * @param isLocal returns whether an upstream is this node's own
     * @param transport sends messages to the other nodes of the service
     */
    CrashReplication(
            NodeSettings.NodeSection node,
            long incarnation,
            Ticker ticker,
            RandomGenerator random,
            DecisionLog log,
            Predicate<Upstream> isLocal,
            CrashExchanger.Transport transport) {
        mNode = node;
        mLog = log;
        mIsLocal = isLocal;
        mTable = CrashTable.of(ticker, node.id(), incarnation, this);
        mExchanger = CrashExchanger.of(ticker, random, node.service(), mTable, transport);
    }

    CrashTable table() {
        return mTable;
    }

    /** Applies the current members of the service. */
    void update(RoutingSnapshot snapshot) {
        ServiceView service = snapshot.service(mNode.service());
        List<Upstream> members = new ArrayList<>();
        boolean listed = false;
        for (Upstream upstream : service == null ? List.<Upstream>of() : service.upstreams()) {
            if (mIsLocal.test(upstream)) {
                listed = true;
            } else {
                members.add(upstream);
            }
        }
        mExchanger.update(members, listed);
    }

    /** Handles a message of another node, and returns the reply or null. */
    CrashExchange receive(CrashExchange message) {
        return mExchanger.receive(message);
    }

    void tick() {
        mExchanger.tick();
        boolean empty = mTable.isEmpty();
        mSuspects = empty ? 0 : mTable.count(CrashGuard.Status.SUSPECT);
        mPoisoned = empty ? 0 : mTable.count(CrashGuard.Status.POISONED);
    }

    /** Returns the number of suspected fingerprints at the last tick; may be called anywhere. */
    int suspects() {
        return mSuspects;
    }

    /** Returns the number of refused fingerprints at the last tick; may be called anywhere. */
    int poisoned() {
        return mPoisoned;
    }

    @Override
    public void onStatusChanged(CrashTable.StatusChange change) {
        mLog.crashStatusChanged(change);
    }

    @Override
    public void onCountsChanged(List<CrashCount> counts, boolean crashedHere) {
        mExchanger.onCountsChanged(counts, crashedHere);
    }
}
