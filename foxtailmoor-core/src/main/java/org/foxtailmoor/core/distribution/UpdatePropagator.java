package org.foxtailmoor.core.distribution;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Update;

/** Forwards a version that has become current: its content along tree A, adverts along tree B. */
final class UpdatePropagator {
    // With 30% of the nodes dead but listed, readers 0 and 1 alone fail to reach 18% of regions;
    // readers 0 to 5 fail to reach less than 1%.
    private static final int MAX_CROSS_REGION_READER_INDEX = 5;

    // Adverts sent to random nodes of the zone, for nodes whose parents in both trees are dead.
    private static final int RANDOM_ADVERTS = 2;

    private final EngineContext mContext;
    private final DistributionState mState;
    private final AdvertSender mAdvertSender;

    UpdatePropagator(EngineContext context, DistributionState state, AdvertSender adverts) {
        mContext = context;
        mState = state;
        mAdvertSender = adverts;
    }

    /** Recipients of one version, of either the content or an advert. */
    private static final class Recipients {
        private final Set<String> mUpdateIds = new LinkedHashSet<>();
        private final Set<String> mAdvertIds = new LinkedHashSet<>();
    }

    /**
     * Forwards the current version.
     *
     * @param previous previously current document, the base of the delta
     * @param from instance id of the sender of the version, or {@link
     *     DistributionEngine#FROM_SOURCE}
     */
    void propagate(TopicRecord record, Document previous, String from) {
        Recipients recipients = selectRecipients(from);
        recipients.mAdvertIds.removeAll(recipients.mUpdateIds);
        if (previous == Document.EMPTY) {
            // The first version could only be sent as a full document. Send adverts instead: peers
            // that lack the version fetch it, and starting nodes send no content to children that
            // already have it.
            recipients.mAdvertIds.addAll(recipients.mUpdateIds);
            recipients.mUpdateIds.clear();
        }
        Update update = null;
        for (String peerId : recipients.mUpdateIds) {
            if (needsVersion(peerId, record, from)) {
                update = update == null ? createUpdate(record, previous) : update;
                send(peerId, update);
            }
        }
        for (String peerId : recipients.mAdvertIds) {
            if (needsVersion(peerId, record, from)) {
                mAdvertSender.sendNotification(peerId, List.of(record.topic()));
            }
        }
    }

    /**
     * Tells all known peers that the node is leaving, and sends its children in tree A the updates
     * that they are known to lack.
     */
    void announceLeaving() {
        String self = mContext.self().getId();
        Set<String> recipients = new LinkedHashSet<>(childrenOf(Tree.A));
        recipients.addAll(childrenOf(Tree.B));
        mState.peers().list().forEach(peer -> recipients.add(peer.id()));
        recipients.remove(self);
        for (String peerId : childrenOf(Tree.A)) {
            Peer peer = mState.peers().find(peerId);
            for (var topic : DistributionState.TOPICS) {
                TopicRecord record = mState.topic(topic);
                if (peer != null && needsVersion(peerId, record, self)) {
                    record.history()
                            .find(peer.version(topic))
                            .ifPresent(base -> send(peerId, createUpdate(record, base)));
                }
            }
        }
        recipients.forEach(
                peerId -> mAdvertSender.sendNotification(peerId, DistributionState.TOPICS));
    }

    private Recipients selectRecipients(String from) {
        Recipients recipients = new Recipients();
        recipients.mUpdateIds.addAll(childrenOf(Tree.A));
        recipients.mAdvertIds.addAll(childrenOf(Tree.B));
        String self = mContext.self().getId();
        String region = mContext.self().getRegion();
        Topology topology = mState.topology();
        String firstZone = topology.firstZoneOf(region);
        boolean fromSource = from.equals(DistributionEngine.FROM_SOURCE);
        if (mState.isReader() || fromSource || self.equals(topology.rootOf(Tree.A, firstZone))) {
            addZoneRoots(region, recipients.mUpdateIds, recipients.mAdvertIds);
        }
        if (self.equals(topology.rootOf(Tree.B, firstZone))) {
            addZoneRoots(region, recipients.mAdvertIds, recipients.mAdvertIds);
        } else if (!mState.isInOwnRegion(from)
                && !self.equals(topology.rootOf(Tree.A, firstZone))) {
            addZoneRootsAndChildren(region, recipients.mAdvertIds);
        }
        addOtherRegions(recipients, fromSource);
        for (int count = 0; count < RANDOM_ADVERTS; count++) {
            addRandom(topology.fleet().idsOfZone(mContext.self().getZone()), recipients.mAdvertIds);
        }
        return recipients;
    }

    private void addZoneRoots(String region, Set<String> rootsA, Set<String> rootsB) {
        Topology topology = mState.topology();
        for (String zone : topology.fleet().zonesOf(region)) {
            rootsA.add(topology.rootOf(Tree.A, zone));
            rootsB.add(topology.rootOf(Tree.B, zone));
        }
    }

    /**
     * Adds the roots of the zones of a region and their children. Used by a node that received the
     * version from another region without being a root of its own region, because the roots may
     * then be dead.
     */
    private void addZoneRootsAndChildren(String region, Set<String> nodes) {
        addZoneRoots(region, nodes, nodes);
        Topology topology = mState.topology();
        for (String zone : topology.fleet().zonesOf(region)) {
            String root = topology.rootOf(Tree.A, zone);
            nodes.addAll(topology.childrenOf(Tree.A, zone, root, mContext.settings().fanOut()));
        }
    }

    /**
     * Adds the entry points of the other regions. Only the first reader sends the content, so that
     * each region receives it once. The next readers send adverts to different zones and to random
     * nodes, so that a region is reached even if its roots are dead.
     */
    private void addOtherRegions(Recipients recipients, boolean fromSource) {
        int index = mState.readerIndex();
        boolean takeover = index < 0 && fromSource;
        if (index > MAX_CROSS_REGION_READER_INDEX || index < 0 && !takeover) {
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
                recipients.mUpdateIds.add(regionRoot);
            } else if (index == 1 || takeover) {
                recipients.mAdvertIds.add(regionRoot);
                recipients.mAdvertIds.add(topology.rootOf(Tree.B, zones.get(0)));
            } else {
                String zone = zones.get((index - 1) % zones.size());
                recipients.mAdvertIds.add(topology.rootOf(Tree.B, zone));
                addRandom(topology.fleet().idsOfRegion(region), recipients.mAdvertIds);
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

    private boolean needsVersion(String peerId, TopicRecord record, String from) {
        if (peerId.equals(mContext.self().getId()) || peerId.equals(from)) {
            return false;
        }
        Peer peer = mState.peers().find(peerId);
        return peer == null
                || DocumentVersions.compare(peer.version(record.topic()), record.version()) < 0;
    }

    private Update createUpdate(TopicRecord record, Document base) {
        return UpdateCodec.diff(record.topic(), base, record.document()).toBuilder()
                .setSourceAgeMilliseconds(record.sourceAge().toMessageField(mContext.now()))
                .build();
    }

    private void send(String peerId, Update update) {
        mContext.outbox().send(peerId, ControlMessage.newBuilder().setUpdate(update).build());
    }
}
