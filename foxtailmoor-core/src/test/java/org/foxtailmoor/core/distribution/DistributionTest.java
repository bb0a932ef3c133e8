package org.foxtailmoor.core.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.Fetch;
import org.foxtailmoor.protocol.generated.PartContent;
import org.foxtailmoor.protocol.generated.Update;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DistributionTest {
    @Nested
    class Order extends FleetTestBase {
        /**
         * Guards against a node applying an older version under loss, reordering, replay and a
         * stale source. FakeNode checks every version applied.
         */
        @Test
        void versionsNeverDecreaseUnderRandomSchedules() {
            for (long seed = SEED; seed < SEED + 12; seed++) {
                System.out.println("schedule with -Dfoxtailmoor.seed=" + seed);
                runSchedule(new SplittableRandom(seed));
            }
        }

        private void runSchedule(SplittableRandom random) {
            mFleet = FakeFleet.createReady(random, mInstances, mInitialCatalogue);
            mFleet.mMaxJitterNanoseconds = Milliseconds.toNanoseconds(400);
            mFleet.mLoss = (from, to) -> random.nextInt(10) < 3;
            Document newest = mInitialCatalogue;
            List<Document> published = new ArrayList<>(List.of(mInitialCatalogue));
            for (int step = 0; step < 30; step++) {
                if (random.nextInt(3) == 0) {
                    mFleet.publish(CATALOGUE, published.get(random.nextInt(published.size())));
                } else {
                    newest = nextCatalogue(newest, newest.version().getNumber() + 1, "o" + step);
                    published.add(newest);
                    mFleet.publish(CATALOGUE, newest);
                }
                replayOldMessages(random);
                mFleet.run(random.nextInt(300));
            }
            mFleet.mLoss = (from, to) -> false;
            mFleet.mMaxJitterNanoseconds = 0;
            mFleet.mDeliveries.clear();
            Document last = nextCatalogue(newest, 1_000, "last");
            mFleet.publish(CATALOGUE, last);
            assertThat(mFleet.runUntil(10_000, () -> mFleet.allHave(CATALOGUE, last))).isTrue();
        }

        private void replayOldMessages(SplittableRandom random) {
            List<Runnable> old = new ArrayList<>(mFleet.mDeliveries);
            for (int count = 0; count < 50 && !old.isEmpty(); count++) {
                old.get(random.nextInt(old.size())).run();
            }
        }

        /**
         * Guards against nodes that converge to different versions when two operators publish the
         * same number concurrently.
         */
        @Test
        void twoPublicationsWithOneNumberHaveOneOrder() {
            Document one = nextCatalogue(mInitialCatalogue, 2, "one");
            Document other = nextCatalogue(mInitialCatalogue, 2, "other");
            boolean ordered = DocumentVersions.compare(one.version(), other.version()) < 0;
            Document lower = ordered ? one : other;
            Document higher = ordered ? other : one;
            reader(0).mEngine.onSourceRead(CATALOGUE, higher);
            reader(1).mEngine.onSourceRead(CATALOGUE, lower);
            mFleet.mSource.put(CATALOGUE, lower);
            mFleet.run(10_000);
            assertThat(mFleet.allHave(CATALOGUE, higher)).isTrue();
            assertThat(topicStatus(reader(1), CATALOGUE).conflict())
                    .contains(
                            new DistributionStatus.VersionConflict(
                                    lower.version(), higher.version()));
            mFleet.publish(CATALOGUE, nextCatalogue(higher, 3, "three"));
            mFleet.run(3_000);
            assertThat(topicStatus(reader(1), CATALOGUE).conflict()).isEmpty();
        }
    }

    @Nested
    class Refusal extends FleetTestBase {
        private final Document mSecondCatalogue = nextCatalogue(mInitialCatalogue, 2, "two");

        /**
         * Guards against a partly applied document: the content of a part does not match its
         * digest.
         */
        @Test
        void wrongDigestIsNeverApplied() {
            transformParts(
                    part -> part.toBuilder().setContent(ByteString.copyFromUtf8("x")).build());
            assertOnlyReadersHaveTheSecondCatalogue();
            assertFleetRecovers();
        }

        /** Guards against a partly applied document: the update lacks a changed part. */
        @Test
        void missingPartIsNeverApplied() {
            transformParts(part -> null);
            assertOnlyReadersHaveTheSecondCatalogue();
            assertThat(mFleet.live())
                    .flatExtracting(node -> topicStatus(node, CATALOGUE).refused())
                    .anyMatch(r -> r.reason().contains("do not match the digest of version"));
            assertFleetRecovers();
        }

        /**
         * Guards against an invalid version that is forwarded, validated again, or blocks later
         * versions.
         */
        @Test
        void invalidVersionIsRefusedAndNotForwarded() {
            TreeMap<String, ByteString> contents = new TreeMap<>(mInitialCatalogue.contents());
            contents.put("bad", ByteString.EMPTY);
            Document bad = Document.of(2, contents);
            mFleet.publish(CATALOGUE, bad);
            mFleet.run(5_000);
            assertThat(mFleet.allHave(CATALOGUE, mInitialCatalogue)).isTrue();
            int checks = reader(0).mCheckCount;
            reader(0).mEngine.onSourceRead(CATALOGUE, bad);
            assertThat(reader(0).mCheckCount).isEqualTo(checks);
            assertThat(topicStatus(reader(0), CATALOGUE).refused())
                    .anyMatch(r -> r.version().equals(bad.version()));
            FakeNode other = nodesInRegion("r1").get(0);
            assertThat(topicStatus(other, CATALOGUE).refused()).isEmpty();
            Document third = nextCatalogue(mInitialCatalogue, 3, "three");
            mFleet.publish(CATALOGUE, third);
            assertThat(mFleet.runUntil(1_000, () -> mFleet.allHave(CATALOGUE, third))).isTrue();
        }

        /**
         * Guards against applying an empty instance list, which would leave a node without peers.
         */
        @Test
        void emptyInstanceListIsRefused() {
            mFleet.publish(INSTANCES, Document.of(2, new TreeMap<>()));
            mFleet.run(2_000);
            assertThat(reader(0).mEngine.instances()).hasSize(mInstances.size());
            assertThat(topicStatus(reader(0), INSTANCES).refused()).isNotEmpty();
        }

        private void transformParts(UnaryOperator<PartContent> change) {
            mFleet.mMessageTransform =
                    message -> {
                        if (!message.hasUpdate()) {
                            return message;
                        }
                        Update.Builder update = message.getUpdate().toBuilder().clearChanged();
                        message.getUpdate().getChangedList().stream()
                                .map(change)
                                .filter(Objects::nonNull)
                                .forEach(update::addChanged);
                        return ControlMessage.newBuilder().setUpdate(update).build();
                    };
            mFleet.publish(CATALOGUE, mSecondCatalogue);
            mFleet.run(8_000);
        }

        private void assertOnlyReadersHaveTheSecondCatalogue() {
            for (FakeNode node : mFleet.live()) {
                boolean reader = node.mRoles.get(CATALOGUE) == SourceRole.WATCH;
                assertThat(node.mEngine.document(CATALOGUE).contents())
                        .isEqualTo((reader ? mSecondCatalogue : mInitialCatalogue).contents());
            }
        }

        private void assertFleetRecovers() {
            mFleet.mMessageTransform = message -> message;
            assertThat(mFleet.runUntil(8_000, () -> mFleet.allHave(CATALOGUE, mSecondCatalogue)))
                    .isTrue();
        }
    }

    @Nested
    class Push extends FleetTestBase {
        /** Guards against content that is sent to a region more than once per change. */
        @Test
        void contentCrossesToEachRegionOnce() {
            Document changed = nextCatalogue(mInitialCatalogue, 2, "two");
            long delta =
                    ControlMessage.newBuilder()
                            .setUpdate(UpdateCodec.diff(CATALOGUE, mInitialCatalogue, changed))
                            .build()
                            .getSerializedSize();
            mFleet.mCrossRegionBytes.clear();
            mFleet.publish(CATALOGUE, changed);
            assertThat(mFleet.runUntil(100, () -> mFleet.allHave(CATALOGUE, changed))).isTrue();
            mFleet.run(5_000);
            int regions = REGIONS.size() - 1;
            assertThat(mFleet.mCrossRegionBytes.get(ControlMessage.KindCase.UPDATE))
                    .isBetween(regions * delta, regions * (delta + 10));
            assertThat(mFleet.mCrossRegionBytes).doesNotContainKey(ControlMessage.KindCase.FETCH);
        }

        /**
         * Guards against children that wait for an exchange when their parent in tree A is dead.
         * The exchange interval of 60 s is far above the time allowed here.
         */
        @Test
        void deadInnerNodeOfTreeADelaysItsChildrenOnlyByTheFetch() {
            mFleet = new FakeFleet(new SplittableRandom(SEED));
            mFleet.mSettings =
                    DistributionSettings.builder().fanOut(2).exchangeMilliseconds(60_000).build();
            Topology topology = startReadyFleet();
            for (String zone : List.of("r1-0", "r1-1", "r2-0", "r2-1")) {
                String root = topology.rootOf(Tree.A, zone);
                mFleet.node(topology.childrenOf(Tree.A, zone, root, 2).get(0)).mDead = true;
            }
            Document changed = nextCatalogue(mInitialCatalogue, 2, "two");
            mFleet.publish(CATALOGUE, changed);
            assertThat(mFleet.runUntil(1_500, () -> mFleet.allHave(CATALOGUE, changed))).isTrue();
        }

        private Topology startReadyFleet() {
            mFleet.mSource.put(INSTANCES, InstanceCodec.encode(1, mInstances));
            mFleet.mSource.put(CATALOGUE, mInitialCatalogue);
            mInstances.forEach(mFleet::start);
            for (FakeNode node : mFleet.nodes()) {
                node.mEngine.onSourceRead(INSTANCES, mFleet.mSource.get(INSTANCES));
                node.mEngine.onSourceRead(CATALOGUE, mInitialCatalogue);
            }
            mFleet.run(4_000);
            return mFleet.topology(mFleet.mSource.get(INSTANCES));
        }

        /** Guards against a region that does not catch up after a network partition. */
        @Test
        void partitionedRegionCatchesUp() {
            List<FakeNode> partitioned = nodesInRegion("r1");
            mFleet.mLoss = (from, to) -> partitioned.contains(from) != partitioned.contains(to);
            mFleet.mSourceReachable = node -> !partitioned.contains(node);
            Document changed = nextCatalogue(mInitialCatalogue, 40, "two");
            mFleet.publish(CATALOGUE, changed);
            mFleet.run(60_000);
            assertThat(partitioned)
                    .allMatch(node -> node.version(CATALOGUE).equals(mInitialCatalogue.version()));
            assertThat(nodesInRegion("r2"))
                    .allMatch(node -> node.version(CATALOGUE).equals(changed.version()));
            mFleet.mLoss = (from, to) -> false;
            assertThat(mFleet.runUntil(8_000, () -> mFleet.allHave(CATALOGUE, changed))).isTrue();
        }

        /**
         * Guards against updates that are lost because the leaving node was the only one to hold
         * them.
         */
        @Test
        void leavingNodeSendsItsChildrenTheUpdatesTheyLack() {
            Topology topology = mFleet.topology(mFleet.mSource.get(INSTANCES));
            FakeNode root = mFleet.node(topology.rootOf(Tree.A, "r1-0"));
            FakeNode child =
                    mFleet.node(
                            topology.childrenOf(Tree.A, "r1-0", root.mInstance.getId(), 4).get(0));
            Document changed = nextCatalogue(mInitialCatalogue, 2, "two");
            root.mEngine.onMessage(child.mInstance.getId(), fetchOf(mInitialCatalogue));
            mFleet.mLoss = (from, to) -> true;
            root.mEngine.onSourceRead(CATALOGUE, changed);
            mFleet.mLoss = (from, to) -> from != root;
            root.mEngine.startLeaving();
            mFleet.run(50);
            assertThat(child.version(CATALOGUE)).isEqualTo(changed.version());
            assertThat(child.mEngine.status().peers())
                    .anyMatch(p -> p.id().equals(root.mInstance.getId()) && p.leaving());
        }

        private ControlMessage fetchOf(Document have) {
            return ControlMessage.newBuilder()
                    .setFetch(Fetch.newBuilder().setTopic(CATALOGUE).setHave(have.version()))
                    .build();
        }
    }
}
