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

class DistributionComponentsTest {
    private final Document mInitialCatalogue = Fixtures.catalogue(1, 3, 100);

    @Nested
    class Trees {
        /** Guards against nodes that cannot be reached from the root of their zone. */
        @Test
        void everyNodeOfAZoneIsReachedExactlyOnce() {
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
        /**
         * Guards against deltas that omit a change, keep a removed part or add an unrelated one.
         */
        @Test
        void deltaTurnsTheBaseIntoTheTarget() {
            Document target =
                    Fixtures.withChangedOwner(Fixtures.catalogue(2, 2, 100), 2, "s1", "new");
            DocumentHistory history = new DocumentHistory();
            history.add(mInitialCatalogue);
            var update = UpdateCodec.diff(Topic.TOPIC_CATALOGUE, mInitialCatalogue, target);
            assertThat(update.getChangedCount()).isEqualTo(1);
            assertThat(update.getRemovedList()).containsExactly("service/s2");
            Document assembled = UpdateCodec.assemble(history, update).document();
            assertThat(assembled.version()).isEqualTo(target.version());
            assertThat(assembled.contents()).isEqualTo(target.contents());
        }

        /**
         * Guards against a history that grows without bound or accepts a version that is not newer.
         */
        @Test
        void historyIsBoundedAndAcceptsOnlyNewerVersions() {
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
                new FetchScheduler(Milliseconds.toNanoseconds(150), new SplittableRandom(1));
        private final DocumentVersion mNewer = mInitialCatalogue.version();

        /** Guards against fetching content from another region that is about to arrive by push. */
        @Test
        void waitsLongerForAnotherRegion() {
            mScheduler.addHolder("far", mNewer, false, 0);
            assertThat(mScheduler.pollDue(Milliseconds.toNanoseconds(299))).isEmpty();
            assertThat(mScheduler.pollDue(Milliseconds.toNanoseconds(600))).contains("far");
        }

        /**
         * Guards against fetching content from another region although a peer in the own region has
         * it.
         */
        @Test
        void prefersTheOwnRegionAndThenTriesAnother() {
            mScheduler.addHolder("far", mNewer, false, 0);
            mScheduler.addHolder("near", mNewer, true, Milliseconds.toNanoseconds(100));
            assertThat(mScheduler.pollDue(Milliseconds.toNanoseconds(250))).contains("near");
            assertThat(mScheduler.pollDue(Milliseconds.toNanoseconds(749))).isEmpty();
            assertThat(mScheduler.pollDue(Milliseconds.toNanoseconds(750))).contains("far");
        }

        /** Guards against a fetch that is still sent after the version arrived by push. */
        @Test
        void endsWhenTheVersionIsApplied() {
            mScheduler.addHolder("near", mNewer, true, 0);
            mScheduler.versionApplied(mNewer, Milliseconds.toNanoseconds(100));
            assertThat(mScheduler.pollDue(Milliseconds.toNanoseconds(10_000))).isEmpty();
        }
    }

    @Nested
    class Limits extends FleetTestBase {
        /** Guards against one node being overloaded by requests for full documents. */
        @Test
        void sendsAtMost64FullDocumentsAtOnce() {
            FakeNode node = mFleet.node("n0000");
            mFleet.mSentBytes = 0;
            ControlMessage fetch =
                    ControlMessage.newBuilder()
                            .setFetch(Fetch.newBuilder().setTopic(CATALOGUE))
                            .build();
            int[] kinds = new int[10];
            mFleet.mMessageTransform =
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

        /** Guards against unresponsive connections that stay in use indefinitely. */
        @Test
        void closesAConnectionAfterTwoUnansweredRequests() {
            FakeNode node = mFleet.node("n0000");
            mFleet.node("n0003").mDead = true;
            mFleet.run(60_000);
            assertThat(node.mClosedPeers).contains("n0003").doesNotContain("n0006");
        }

        /** Guards against a peer table that grows with the number of senders. */
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

        /**
         * Guards against an advert of an earlier process of a peer that hides which versions the
         * current process lacks.
         */
        @Test
        void ignoresAdvertsOfAnEarlierProcess() {
            Peer peer = new Peer("p", 0);
            SplittableRandom random = new SplittableRandom(SEED);
            long incarnation = 10 + random.nextInt(100);
            assertThat(peer.applyAdvert(Advert.newBuilder().setIncarnation(incarnation).build()))
                    .isTrue();
            peer.recordVersion(CATALOGUE, mInitialCatalogue.version());
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
