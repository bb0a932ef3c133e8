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
        /** Guards against more than the readers holding watches, or polls without need. */
        @Test
        void onlyReadersReadAHealthySource() {
            mFleet.mPolls = 0;
            mFleet.run(60_000);
            assertThat(mFleet.live().stream().filter(n -> n.mRoles.containsValue(SourceRole.WATCH)))
                    .hasSize(4)
                    .allMatch(n -> n.mInstance.getRegion().equals(Fixtures.SOURCE_REGION));
            assertThat(mFleet.mPolls).isZero();
        }

        /** Guards against a publication that no one reads because all readers are dead. */
        @Test
        void deadReadersAreTakenOver() {
            for (FakeNode node : mFleet.nodes()) {
                node.mDead = node.mRoles.get(CATALOGUE) == SourceRole.WATCH;
            }
            Document changed = next(mFirst, 2, "two");
            mFleet.publish(CATALOGUE, changed);
            assertThat(mFleet.runUntil(20_000, () -> mFleet.allHave(CATALOGUE, changed))).isTrue();
        }

        /** Guards against a storm of calls to a source that is down, and hidden source age. */
        @Test
        void outageShowsAsAgeAndKeepsCallsWithinTheBudget() {
            mFleet.mReachesSource = node -> false;
            mFleet.run(10_000);
            mFleet.mPolls = 0;
            mFleet.run(60_000);
            assertThat(mFleet.mPolls / 60).isBetween(1, 200);
            assertThat(mFleet.allHave(CATALOGUE, mFirst)).isTrue();
            assertThat(mFleet.live())
                    .allMatch(n -> status(n, CATALOGUE).sourceAgeMilliseconds() >= 60_000);
            mFleet.mReachesSource = node -> true;
            Document changed = next(mFirst, 2, "two");
            mFleet.publish(CATALOGUE, changed);
            assertThat(mFleet.runUntil(5_000, () -> mFleet.allHave(CATALOGUE, changed))).isTrue();
        }

        /** Guards against following a stale source back, and against hiding it. */
        @Test
        void olderVersionOfTheSourceIsReportedAndIgnored() {
            Document second = next(mFirst, 2, "two");
            mFleet.publish(CATALOGUE, second);
            mFleet.run(1_000);
            mFleet.publish(CATALOGUE, mFirst);
            mFleet.run(5_000);
            assertThat(mFleet.allHave(CATALOGUE, second)).isTrue();
            assertThat(status(reader(0), CATALOGUE).sourceBehind()).isTrue();
            Document third = next(second, 3, "three");
            mFleet.publish(CATALOGUE, third);
            mFleet.run(1_000);
            assertThat(mFleet.allHave(CATALOGUE, third)).isTrue();
            assertThat(status(reader(0), CATALOGUE).sourceBehind()).isFalse();
        }
    }

    @Nested
    class Start extends FleetTestBase {
        private final Document mSecond = next(mFirst, 2, "two");

        private void makeSourceStale() {
            mFleet.publish(CATALOGUE, mSecond);
            mFleet.run(1_000);
            mFleet.mSource.put(CATALOGUE, mFirst);
        }

        /** Guards against serving the older version of a stale source after a restart. */
        @Test
        void startingNodeTakesTheNewestVersionOfPeers() {
            makeSourceStale();
            FakeNode restarted = mFleet.start(reader(0).mInstance);
            restarted.mEngine.onSourceRead(INSTANCES, mFleet.mSource.get(INSTANCES));
            restarted.mEngine.onSourceRead(CATALOGUE, mFirst);
            assertThat(mFleet.runUntil(5_000, restarted.mEngine::isReady)).isTrue();
            assertThat(restarted.version(CATALOGUE)).isEqualTo(mSecond.version());
        }

        /** Guards against a ready node with an old version when most of the fleet returns. */
        @Test
        void returningHerdTakesTheNewestVersionOfSurvivors() {
            makeSourceStale();
            List<FakeNode> dying =
                    mFleet.nodes().stream().filter(node -> keep(node.mInstance)).toList();
            dying.forEach(node -> node.mDead = true);
            mFleet.run(2_000);
            List<FakeNode> returned =
                    dying.stream().map(node -> mFleet.start(node.mInstance)).toList();
            returned.forEach(n -> n.mEngine.onSourceRead(CATALOGUE, mFirst));
            for (int step = 0; step < 100; step++) {
                mFleet.run(100);
                assertThat(returned)
                        .filteredOn(node -> node.mEngine.isReady())
                        .allMatch(n -> n.version(CATALOGUE).equals(mSecond.version()));
            }
            assertThat(returned).allMatch(node -> node.mEngine.isReady());
        }

        private boolean keep(Instance instance) {
            return Integer.parseInt(instance.getId().substring(1)) % 4 != 0;
        }

        /** Guards against a fleet that cannot start when no process has any version. */
        @Test
        void coldFleetStartsFromTheSource() {
            mFleet = new FakeFleet(new SplittableRandom(SEED));
            mFleet.mSource.put(INSTANCES, InstanceCodec.encode(1, mInstances));
            mFleet.mSource.put(CATALOGUE, mFirst);
            mInstances.forEach(mFleet::start);
            boolean ready =
                    mFleet.runUntil(
                            15_000,
                            () -> mFleet.nodes().stream().allMatch(n -> n.mEngine.isReady()));
            assertThat(ready).isTrue();
            assertThat(mFleet.mPolls).isLessThan(3 * mInstances.size());
        }

        /** Guards against a node that needs the source although a seed knows everything. */
        @Test
        void seedBringsTheDocumentsWhileTheSourceIsDown() {
            mFleet.mReachesSource = node -> false;
            FakeNode restarted =
                    mFleet.start(mInstances.get(5), List.of(mInstances.get(40).getId()));
            assertThat(mFleet.runUntil(4_000, restarted.mEngine::isReady)).isTrue();
        }

        /** Guards against readiness by too few answers before 10 s have passed. */
        @Test
        void nodeThatReachesNoPeerWaitsAndThenTakesTheSourcesVersion() {
            Instance instance = mInstances.get(5);
            mFleet.mLoss = (from, to) -> from.mInstance == instance || to.mInstance == instance;
            FakeNode alone = mFleet.start(instance);
            mFleet.run(9_500);
            assertThat(alone.mEngine.isReady()).isFalse();
            mFleet.run(30_000);
            assertThat(alone.mEngine.isReady()).isTrue();
            assertThat(alone.version(CATALOGUE)).isEqualTo(mFirst.version());
        }
    }
}
