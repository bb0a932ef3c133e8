package org.foxtailmoor.core.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Instance;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SourceAndStartTest {
    @Nested
    class Source extends FleetTestBase {
        /**
         * Guards against watches held by nodes that are not readers, and against unnecessary polls.
         */
        @Test
        void onlyReadersReadAHealthySource() {
            mFleet.mPollCount = 0;
            mFleet.run(60_000);
            assertThat(mFleet.live().stream().filter(n -> n.mRoles.containsValue(SourceRole.WATCH)))
                    .hasSize(4)
                    .allMatch(n -> n.mInstance.getRegion().equals(Fixtures.SOURCE_REGION));
            assertThat(mFleet.mPollCount).isZero();
        }

        /** Guards against a published version that is not read because all readers are dead. */
        @Test
        void deadReadersAreReplacedByOtherNodes() {
            for (FakeNode node : mFleet.nodes()) {
                node.mDead = node.mRoles.get(CATALOGUE) == SourceRole.WATCH;
            }
            Document changed = nextCatalogue(mInitialCatalogue, 2, "two");
            mFleet.publish(CATALOGUE, changed);
            assertThat(mFleet.runUntil(20_000, () -> mFleet.allHave(CATALOGUE, changed))).isTrue();
        }

        /**
         * Guards against excessive calls to a source that is down, and against a source age that
         * does not show the outage.
         */
        @Test
        void sourceOutageRaisesTheAgeAndCallsStayWithinTheBudget() {
            mFleet.mSourceReachable = node -> false;
            mFleet.run(10_000);
            mFleet.mPollCount = 0;
            mFleet.run(60_000);
            assertThat(mFleet.mPollCount / 60).isBetween(1, 200);
            assertThat(mFleet.allHave(CATALOGUE, mInitialCatalogue)).isTrue();
            assertThat(mFleet.live())
                    .allMatch(n -> topicStatus(n, CATALOGUE).sourceAgeMilliseconds() >= 60_000);
            mFleet.mSourceReachable = node -> true;
            Document changed = nextCatalogue(mInitialCatalogue, 2, "two");
            mFleet.publish(CATALOGUE, changed);
            assertThat(mFleet.runUntil(5_000, () -> mFleet.allHave(CATALOGUE, changed))).isTrue();
        }

        /**
         * Guards against applying an older version from a stale source, and against not reporting
         * it.
         */
        @Test
        void olderVersionOfTheSourceIsReportedAndIgnored() {
            Document second = nextCatalogue(mInitialCatalogue, 2, "two");
            mFleet.publish(CATALOGUE, second);
            mFleet.run(1_000);
            mFleet.publish(CATALOGUE, mInitialCatalogue);
            mFleet.run(5_000);
            assertThat(mFleet.allHave(CATALOGUE, second)).isTrue();
            assertThat(topicStatus(reader(0), CATALOGUE).sourceBehind()).isTrue();
            Document third = nextCatalogue(second, 3, "three");
            mFleet.publish(CATALOGUE, third);
            mFleet.run(1_000);
            assertThat(mFleet.allHave(CATALOGUE, third)).isTrue();
            assertThat(topicStatus(reader(0), CATALOGUE).sourceBehind()).isFalse();
        }
    }

    @Nested
    class Start extends FleetTestBase {
        private final Document mSecondCatalogue = nextCatalogue(mInitialCatalogue, 2, "two");

        private void makeSourceStale() {
            mFleet.publish(CATALOGUE, mSecondCatalogue);
            mFleet.run(1_000);
            mFleet.mSource.put(CATALOGUE, mInitialCatalogue);
        }

        /** Guards against a restarted node that serves the older version of a stale source. */
        @Test
        void startingNodeTakesTheNewestVersionOfPeers() {
            makeSourceStale();
            FakeNode restarted = mFleet.start(reader(0).mInstance);
            restarted.mEngine.onSourceRead(INSTANCES, mFleet.mSource.get(INSTANCES));
            restarted.mEngine.onSourceRead(CATALOGUE, mInitialCatalogue);
            assertThat(mFleet.runUntil(5_000, restarted.mEngine::isReady)).isTrue();
            assertThat(restarted.version(CATALOGUE)).isEqualTo(mSecondCatalogue.version());
        }

        /**
         * Guards against a node that becomes ready with an old version when most of the fleet
         * restarts at once.
         */
        @Test
        void restartedNodesTakeTheNewestVersionOfSurvivors() {
            makeSourceStale();
            List<FakeNode> stopped =
                    mFleet.nodes().stream().filter(node -> isRestarted(node.mInstance)).toList();
            stopped.forEach(node -> node.mDead = true);
            mFleet.run(2_000);
            List<FakeNode> restarted =
                    stopped.stream().map(node -> mFleet.start(node.mInstance)).toList();
            restarted.forEach(n -> n.mEngine.onSourceRead(CATALOGUE, mInitialCatalogue));
            for (int step = 0; step < 100; step++) {
                mFleet.run(100);
                assertThat(restarted)
                        .filteredOn(node -> node.mEngine.isReady())
                        .allMatch(n -> n.version(CATALOGUE).equals(mSecondCatalogue.version()));
            }
            assertThat(restarted).allMatch(node -> node.mEngine.isReady());
        }

        private boolean isRestarted(Instance instance) {
            return Integer.parseInt(instance.getId().substring(1)) % 4 != 0;
        }

        /** Guards against a fleet that cannot start when no node has any document. */
        @Test
        void coldFleetStartsFromTheSource() {
            mFleet = new FakeFleet(new SplittableRandom(SEED));
            mFleet.mSource.put(INSTANCES, InstanceCodec.encode(1, mInstances));
            mFleet.mSource.put(CATALOGUE, mInitialCatalogue);
            mInstances.forEach(mFleet::start);
            boolean ready =
                    mFleet.runUntil(
                            15_000,
                            () -> mFleet.nodes().stream().allMatch(n -> n.mEngine.isReady()));
            assertThat(ready).isTrue();
            assertThat(mFleet.mPollCount).isLessThan(3 * mInstances.size());
        }

        /** Guards against a node that depends on the source although a seed has both documents. */
        @Test
        void seedSuppliesTheDocumentsWhileTheSourceIsDown() {
            mFleet.mSourceReachable = node -> false;
            FakeNode restarted =
                    mFleet.start(mInstances.get(5), List.of(mInstances.get(40).getId()));
            assertThat(mFleet.runUntil(4_000, restarted.mEngine::isReady)).isTrue();
        }

        /**
         * Guards against a node that becomes ready with too few answers before 10 s have passed.
         */
        @Test
        void isolatedNodeWaitsAndThenTakesTheVersionOfTheSource() {
            Instance instance = mInstances.get(5);
            mFleet.mLoss = (from, to) -> from.mInstance == instance || to.mInstance == instance;
            FakeNode isolated = mFleet.start(instance);
            mFleet.run(9_500);
            assertThat(isolated.mEngine.isReady()).isFalse();
            mFleet.run(30_000);
            assertThat(isolated.mEngine.isReady()).isTrue();
            assertThat(isolated.version(CATALOGUE)).isEqualTo(mInitialCatalogue.version());
        }
    }
}
