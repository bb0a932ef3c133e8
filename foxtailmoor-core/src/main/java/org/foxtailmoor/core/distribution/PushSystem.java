package org.foxtailmoor.core.distribution;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Update;

/** Forwards a version that came into force: content along tree A, notice of it along tree B. */
final class PushSystem {
    // With three tenths of the nodes dead but listed, readers 0 and 1 alone miss 18 regions in 100,
    // readers 0 to 5 less than 1.
    private static final int LAST_CROSSING_READER = 5;

    // Notices to random nodes of the zone, for nodes whose parents in both trees are dead.
    private static final int RANDOM_NOTICES = 2;

    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertWriter mAdverts;

    PushSystem(EngineContext context, DistributionState state, AdvertWriter adverts) {
        mContext = context;
        mState = state;
        mAdverts = adverts;
    }

    /** Receivers of one version; a node that gets the content gets no advert. */
    private static final class Targets {
        private final Set<String> mUpdates = new LinkedHashSet<>();
        private final Set<String> mAdverts = new LinkedHashSet<>();
    }

    /**
     * Forwards the version in force.
     *
     * @param previous version that was in force before; the base of the delta
     * @param from sender of the version
     */
    void push(TopicRecord record, Document previous, String from) {
        Targets targets = targets(from);
        targets.mAdverts.removeAll(targets.mUpdates);
        if (previous == Document.EMPTY) {
            // The first version is a whole document. Peers that lack it too ask for it, instead of
            // every starting node sending it to children that have it.
            targets.mAdverts.addAll(targets.mUpdates);
            targets.mUpdates.clear();
        }
        Update update = null;
        for (String peerId : targets.mUpdates) {
            if (needs(peerId, record, from)) {
                update = update == null ? write(record, previous) : update;
                send(peerId, update);
            }
        }
        for (String peerId : targets.mAdverts) {
            if (needs(peerId, record, from)) {
                mAdverts.tell(peerId, List.of(record.topic()));
            }
        }
    }

    /** Sends the children in tree A what they are known to lack, and tells all that it leaves. */
    void handOver() {
        String self = mContext.self().getId();
        Set<String> told = new LinkedHashSet<>(childrenOf(Tree.A));
        told.addAll(childrenOf(Tree.B));
        mState.peers().list().forEach(peer -> told.add(peer.id()));
        told.remove(self);
        for (String peerId : childrenOf(Tree.A)) {
            Peer peer = mState.peers().find(peerId);
            for (var topic : DistributionState.TOPICS) {
                TopicRecord record = mState.topic(topic);
                if (peer != null && needs(peerId, record, self)) {
                    record.history()
                            .find(peer.version(topic))
                            .ifPresent(base -> send(peerId, write(record, base)));
                }
            }
        }
        told.forEach(peerId -> mAdverts.tell(peerId, DistributionState.TOPICS));
    }

    private Targets targets(String from) {
        Targets targets = new Targets();
        targets.mUpdates.addAll(childrenOf(Tree.A));
        targets.mAdverts.addAll(childrenOf(Tree.B));
        String self = mContext.self().getId();
        String region = mContext.self().getRegion();
        Topology topology = mState.topology();
        String firstZone = topology.firstZoneOf(region);
        boolean fromSource = from.equals(DistributionEngine.FROM_SOURCE);
        if (mState.isReader() || fromSource || self.equals(topology.rootOf(Tree.A, firstZone))) {
            addZoneRoots(region, targets.mUpdates, targets.mAdverts);
        }
        if (self.equals(topology.rootOf(Tree.B, firstZone))) {
            addZoneRoots(region, targets.mAdverts, targets.mAdverts);
        } else if (!mState.isInOwnRegion(from)
                && !self.equals(topology.rootOf(Tree.A, firstZone))) {
            addZones(region, targets.mAdverts);
        }
        addOtherRegions(targets, fromSource);
        for (int count = 0; count < RANDOM_NOTICES; count++) {
            addRandom(topology.fleet().idsOfZone(mContext.self().getZone()), targets.mAdverts);
        }
        return targets;
    }

    private void addZoneRoots(String region, Set<String> rootsA, Set<String> rootsB) {
        Topology topology = mState.topology();
        for (String zone : topology.fleet().zonesOf(region)) {
            rootsA.add(topology.rootOf(Tree.A, zone));
            rootsB.add(topology.rootOf(Tree.B, zone));
        }
    }

    /**
     * Adds the roots of the zones of a region and their children. It is for a node that got the
     * version from another region although it is no root of its region: the roots may be dead.
     */
    private void addZones(String region, Set<String> nodes) {
        addZoneRoots(region, nodes, nodes);
        Topology topology = mState.topology();
        for (String zone : topology.fleet().zonesOf(region)) {
            String root = topology.rootOf(Tree.A, zone);
            nodes.addAll(topology.childrenOf(Tree.A, zone, root, mContext.settings().fanOut()));
        }
    }

    /**
     * Adds the entry points of the other regions. The first reader sends the content, so that it
     * crosses to each region once. The next readers send notices to different zones and to random
     * nodes, so that a region is reached although its roots are dead.
     */
    private void addOtherRegions(Targets targets, boolean fromSource) {
        int index = mState.readerIndex();
        boolean takeover = index < 0 && fromSource;
        if (index > LAST_CROSSING_READER || index < 0 && !takeover) {
            return;
        }
        Topology topology = mState.topology();
        for (String region : topology.fleet().regions()) {
            if (region.equals(mContext.self().getRegion())) {
                continue;
            }
            List<String> zones = topology.fleet().zonesOf(region);
            String regionRoot = topology.rootOf(Tree.A, zones.get(0));
            if (index == 0) {
                targets.mUpdates.add(regionRoot);
            } else if (index == 1 || takeover) {
                targets.mAdverts.add(regionRoot);
                targets.mAdverts.add(topology.rootOf(Tree.B, zones.get(0)));
            } else {
                String zone = zones.get((index - 1) % zones.size());
                targets.mAdverts.add(topology.rootOf(Tree.B, zone));
                addRandom(topology.fleet().idsOfRegion(region), targets.mAdverts);
            }
        }
    }

    private void addRandom(List<String> ids, Set<String> nodes) {
        if (!ids.isEmpty()) {
            nodes.add(ids.get(mContext.random().nextInt(ids.size())));
        }
    }

    private List<String> childrenOf(Tree tree) {
        Instance self = mContext.self();
        return mState.topology()
                .childrenOf(tree, self.getZone(), self.getId(), mContext.settings().fanOut());
    }

    private boolean needs(String peerId, TopicRecord record, String from) {
        if (peerId.equals(mContext.self().getId()) || peerId.equals(from)) {
            return false;
        }
        Peer peer = mState.peers().find(peerId);
        return peer == null
                || DocumentVersions.compare(peer.version(record.topic()), record.version()) < 0;
    }

    private Update write(TopicRecord record, Document base) {
        return Updates.write(record.topic(), base, record.document()).toBuilder()
                .setSourceAgeMilliseconds(record.sourceAge().stated(mContext.now()))
                .build();
    }

    private void send(String peerId, Update update) {
        mContext.outbox().send(peerId, ControlMessage.newBuilder().setUpdate(update).build());
    }
}
