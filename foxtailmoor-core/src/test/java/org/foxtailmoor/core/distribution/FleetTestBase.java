package org.foxtailmoor.core.distribution;

import java.util.List;
import java.util.SplittableRandom;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;

/** Provides a ready fleet of 3 regions with 2 zones of 8 nodes each, and helper methods. */
abstract class FleetTestBase {
    static final Topic CATALOGUE = Topic.TOPIC_CATALOGUE;
    static final Topic INSTANCES = Topic.TOPIC_INSTANCES;
    static final List<String> REGIONS = List.of(Fixtures.SOURCE_REGION, "r1", "r2");
    static final long SEED = Long.getLong("foxtailmoor.seed", 20_260_704);

    final List<Instance> mInstances = Fixtures.instances(REGIONS, 6, 8, 4);
    final Document mInitialCatalogue = Fixtures.catalogue(1, 4, 200);
    FakeFleet mFleet =
            FakeFleet.createReady(new SplittableRandom(SEED), mInstances, mInitialCatalogue);

    Document nextCatalogue(Document before, long number, String owner) {
        return Fixtures.withChangedOwner(before, number, "s1", owner);
    }

    List<FakeNode> nodesInRegion(String region) {
        return mFleet.nodes().stream()
                .filter(node -> node.mInstance.getRegion().equals(region))
                .toList();
    }

    FakeNode reader(int rank) {
        Topology topology = mFleet.topology(InstanceCodec.encode(1, mInstances));
        return mFleet.nodes().stream()
                .filter(
                        node ->
                                topology.readerRank(Fixtures.SOURCE_REGION, node.mInstance.getId())
                                        == rank)
                .findFirst()
                .orElseThrow();
    }

    DistributionStatus.TopicStatus topicStatus(FakeNode node, Topic topic) {
        return node.mEngine.status().topics().stream()
                .filter(status -> status.topic() == topic)
                .findFirst()
                .orElseThrow();
    }
}
