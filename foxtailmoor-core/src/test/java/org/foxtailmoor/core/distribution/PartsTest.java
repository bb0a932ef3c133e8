package org.foxtailmoor.core.distribution;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.Advert;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Fetch;
import org.foxtailmoor.protocol.generated.Topic;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PartsTest {
    private static final long MILLISECOND = FakeFleet.MILLISECOND;
    private final Document mFirst = Fixtures.catalogue(1, 3, 100);

    @Nested
    class Trees {
        /** Guards against nodes that no root reaches. */
        @Test
        void everyNodeOfAZoneIsReachedOnce() {
            Topology topology =
                    Topology.of(
                            InstanceCodec.encode(
                                    1, Fixtures.instances(List.of("north"), 1, 171, 3)));
            for (Tree tree : Tree.values()) {
                Set<String> reached = new HashSet<>();
                Deque<String> open = new ArrayDeque<>(List.of(topology.rootOf(tree, "north-0")));
                while (!open.isEmpty()) {
                    String id = open.remove();
                    assertThat(reached.add(id)).isTrue();
                    open.addAll(topology.childrenOf(tree, "north-0", id, 4));
                }
                assertThat(reached).hasSize(171);
            }
        }
    }

    @Nested
    class Transfer {
        /** Guards against deltas that lose, keep or invent a part. */
        @Test
        void deltaMovesTheBaseToTheTarget() {
            Document target = Fixtures.changed(Fixtures.catalogue(2, 2, 100), 2, "s1", "new");
            DocumentHistory history = new DocumentHistory();
            history.add(mFirst);
            var update = UpdateCodec.diff(Topic.TOPIC_CATALOGUE, mFirst, target);
            assertThat(update.getChangedCount()).isEqualTo(1);
            assertThat(update.getRemovedList()).containsExactly("service/s2");
            Document assembled = UpdateCodec.assemble(history, update).document();
            assertThat(assembled.version()).isEqualTo(target.version());
            assertThat(assembled.contents()).isEqualTo(target.contents());
        }

        /** Guards against a history that grows without bound or takes a lower version. */
        @Test
        void historyIsBoundedAndRises() {
            DocumentHistory history = new DocumentHistory();
            for (int number = 1; number <= 40; number++) {
                history.add(Fixtures.catalogue(number, 1, 50));
            }
            assertThat(history.find(Fixtures.catalogue(9, 1, 50).version())).isPresent();
            assertThat(history.find(Fixtures.catalogue(8, 1, 50).version())).isEmpty();
            assertThatThrownBy(() -> history.add(Fixtures.catalogue(40, 1, 50)))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Nested
    class Fetches {
        private final FetchScheduler mScheduler =
                new FetchScheduler(150 * MILLISECOND, new SplittableRandom(1));
        private final DocumentVersion mNewer = mFirst.version();

        /** Guards against fetches of what the push is about to bring. */
        @Test
        void waitsLongerForAnotherRegion() {
            mScheduler.addHolder("far", mNewer, false, 0);
            assertThat(mScheduler.pollDue(299 * MILLISECOND)).isEmpty();
            assertThat(mScheduler.pollDue(600 * MILLISECOND)).contains("far");
        }

        /** Guards against content that crosses regions although a near peer has it. */
        @Test
        void prefersTheOwnRegionAndThenTriesAnother() {
            mScheduler.addHolder("far", mNewer, false, 0);
            mScheduler.addHolder("near", mNewer, true, 100 * MILLISECOND);
            assertThat(mScheduler.pollDue(250 * MILLISECOND)).contains("near");
            assertThat(mScheduler.pollDue(749 * MILLISECOND)).isEmpty();
            assertThat(mScheduler.pollDue(750 * MILLISECOND)).contains("far");
        }

        /** Guards against a fetch that goes on after the version came by push. */
        @Test
        void endsWhenTheVersionIsInForce() {
            mScheduler.addHolder("near", mNewer, true, 0);
            mScheduler.versionApplied(mNewer, 100 * MILLISECOND);
            assertThat(mScheduler.pollDue(10_000 * MILLISECOND)).isEmpty();
        }
    }

    @Nested
    class Limits extends FleetTestBase {
        /** Guards against a storm of whole documents at one node. */
        @Test
        void refusesMoreThan64WholeDocumentsAtOnce() {
            FakeNode node = mFleet.node("n0000");
            mFleet.mBytes = 0;
            ControlMessage fetch =
                    ControlMessage.newBuilder()
                            .setFetch(Fetch.newBuilder().setTopic(CATALOGUE))
                            .build();
            int[] kinds = new int[10];
            mFleet.mTamper =
                    message -> {
                        kinds[message.getKindCase().getNumber()]++;
                        return message;
                    };
            for (int count = 0; count < 100; count++) {
                node.mEngine.onMessage("n0001", fetch);
            }
            assertThat(kinds[ControlMessage.KindCase.UPDATE.getNumber()]).isEqualTo(64);
            assertThat(kinds[ControlMessage.KindCase.BUSY.getNumber()]).isEqualTo(36);
        }

        /** Guards against a connection that went silent and is used for ever. */
        @Test
        void closesAConnectionAfterTwoAdvertsWithoutReply() {
            FakeNode node = mFleet.node("n0000");
            mFleet.node("n0003").mDead = true;
            mFleet.run(60_000);
            assertThat(node.mClosed).contains("n0003").doesNotContain("n0006");
        }

        /** Guards against tables that grow with the number of peers that send something. */
        @Test
        void remembersAtMost32Peers() {
            FakeNode node = mFleet.node("n0000");
            for (int count = 0; count < 200; count++) {
                Advert advert = Advert.newBuilder().setSender("p" + count).build();
                node.mEngine.onMessage(
                        "p" + count, ControlMessage.newBuilder().setAdvert(advert).build());
            }
            assertThat(node.mEngine.status().peers()).hasSize(32);
        }

        /** Guards against an advert of an earlier process that hides what its successor lacks. */
        @Test
        void ignoresAdvertsOfAnEarlierProcess() {
            Peer peer = new Peer("p", 0);
            SplittableRandom random = new SplittableRandom(SEED);
            long incarnation = 10 + random.nextInt(100);
            assertThat(peer.applyAdvert(Advert.newBuilder().setIncarnation(incarnation).build()))
                    .isTrue();
            peer.recordVersion(CATALOGUE, mFirst.version());
            assertThat(
                            peer.applyAdvert(
                                    Advert.newBuilder().setIncarnation(incarnation - 1).build()))
                    .isFalse();
            assertThat(
                            peer.applyAdvert(
                                    Advert.newBuilder().setIncarnation(incarnation + 1).build()))
                    .isTrue();
            assertThat(peer.version(CATALOGUE)).isEqualTo(DocumentVersions.NONE);
        }
    }
}
