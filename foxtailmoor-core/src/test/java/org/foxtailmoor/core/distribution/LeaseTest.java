package org.foxtailmoor.core.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailmoor.core.membership.Fleet;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.Instance;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LeaseTest {
    @Nested
    class Group {
        /** Guards against disjoint quorums of two views that differ by one instance. */
        @Test
        void quorumsOverlapAfterAnyOneChange() {
            for (int size = 1; size <= 24; size++) {
                for (int members = 1; members <= size; members++) {
                    assertOverlap(size, members, 1);
                }
            }
        }

        /**
         * Guards against disjoint quorums after the platform removes several instances in one list.
         */
        @Test
        void quorumsOfFullGroupsOverlapAfterThreeChangesAtOnce() {
            for (int size = LeaseGroup.MIN_SIZE + 3; size <= 24; size++) {
                for (int members = 1; members <= size; members++) {
                    assertOverlap(size, members, 2);
                    assertOverlap(size, members, 3);
                }
            }
        }

        private void assertOverlap(int size, int members, int changes) {
            List<Instance> before = new ArrayList<>();
            for (int index = 0; index < size; index++) {
                String service = index < members ? "s" : "other";
                before.add(Fixtures.instance("i" + index, service, "r", "z"));
            }
            for (int removed = 0; removed + changes <= size; removed++) {
                List<Instance> after = new ArrayList<>(before);
                after.subList(removed, removed + changes).clear();
                LeaseGroup one = LeaseGroup.of(Fleet.of(before), "s", "r");
                LeaseGroup two = LeaseGroup.of(Fleet.of(after), "s", "r");
                Set<String> union = new HashSet<>(one.voters());
                union.addAll(two.voters());
                assertThat(one.quorum() + two.quorum())
                        .as("%d instances, %d members, %d removed", size, members, removed)
                        .isGreaterThan(union.size());
            }
        }
    }

    @Nested
    class Lease extends FleetTestBase {
        private final List<FakeNode> mHomeNodes =
                nodesInRegion(Fixtures.SOURCE_REGION).stream()
                        .filter(node -> node.mInstance.getServiceId().equals("s1"))
                        .toList();

        /** Returns the instance list without one member of the service s1. */
        private Document listWithout(FakeNode removed, long revision) {
            List<Instance> instances = new ArrayList<>(mInstances);
            instances.remove(removed.mInstance);
            return InstanceCodec.encode(revision, instances);
        }

        private void dropUpdates() {
            mFleet.mMessageTransform =
                    message -> message.hasUpdate() ? ControlMessage.getDefaultInstance() : message;
        }

        /**
         * Guards against home nodes without a lease in a healthy fleet, and against leases outside
         * the home region.
         */
        @Test
        void everyMemberInTheHomeRegionHoldsItsLeaseThroughout() {
            for (int step = 0; step < 50; step++) {
                mFleet.run(100);
                assertThat(nodesInRegion(Fixtures.SOURCE_REGION)).allMatch(FakeNode::holdsLease);
            }
            assertThat(nodesInRegion("r1")).noneMatch(FakeNode::holdsLease);
        }

        /** Guards against a home node that acts on an older instance list than its peers have. */
        @Test
        void holderOfAnOlderListIsDenied() {
            FakeNode old = mHomeNodes.get(0);
            // The node still exchanges adverts but receives no update.
            dropUpdates();
            Document changed = listWithout(mHomeNodes.get(1), 2);
            for (FakeNode node : mFleet.live()) {
                if (node != old) {
                    node.mEngine.onSourceRead(INSTANCES, changed);
                }
            }
            mFleet.run(50);
            assertThat(old.version(INSTANCES).getNumber()).isEqualTo(1);
            mFleet.run(2_950);
            assertThat(old.holdsLease()).isFalse();
            assertThat(mHomeNodes.get(2).holdsLease()).isTrue();
        }

        /** Guards against a voter that confirms an old list although it knows of a newer one. */
        @Test
        void memberThatKnowsOfANewerListDenies() {
            FakeNode member = mHomeNodes.get(0);
            Document changed = listWithout(mHomeNodes.get(1), 2);
            dropUpdates();
            mHomeNodes.get(2).mEngine.onSourceRead(INSTANCES, changed);
            mFleet.runUntil(
                    5_000,
                    () -> topicStatus(member, INSTANCES).newestHeard().equals(changed.version()));
            assertThat(member.version(INSTANCES).getNumber()).isEqualTo(1);
            mFleet.run(3_000);
            assertThat(mHomeNodes)
                    .noneMatch(node -> node.holdsLease() && node != mHomeNodes.get(2));
        }

        /**
         * Guards against a lease obtained from replies that were buffered while the process was
         * paused.
         */
        @Test
        void confirmationsAreValidFromTheRequestTime() {
            FakeNode paused = mHomeNodes.get(0);
            mFleet.mMaxJitterNanoseconds = Milliseconds.toNanoseconds(2_500);
            mFleet.run(2_500);
            paused.pause();
            mFleet.run(5_000);
            paused.resume();
            assertThat(paused.holdsLease()).isFalse();
        }

        /** Guards against a home node that continues with its old lease after a pause. */
        @Test
        void pausedNodeHoldsNoLeaseWhenItResumes() {
            FakeNode paused = mHomeNodes.get(0);
            paused.pause();
            mFleet.run(5_000);
            Document changed = listWithout(mHomeNodes.get(1), 2);
            mFleet.publish(INSTANCES, changed);
            mFleet.run(5_000);
            assertThat(paused.holdsLease()).isFalse();
            paused.resume();
            assertThat(paused.holdsLease()).isFalse();
            mFleet.run(3_000);
            assertThat(paused.version(INSTANCES)).isEqualTo(changed.version());
            assertThat(paused.holdsLease()).isTrue();
        }

        /**
         * Guards against a partitioned minority that acts as home, and against a new term that
         * starts before the partition has healed.
         */
        @Test
        void lapsedLeaseStartsANewTerm() {
            FakeNode partitioned = mHomeNodes.get(0);
            long before = partitioned.mEngine.viewLease().confirmedSinceNanoseconds();
            mFleet.run(10_000);
            assertThat(partitioned.mEngine.viewLease().confirmedSinceNanoseconds())
                    .isEqualTo(before);
            mFleet.mLoss = (from, to) -> from == partitioned || to == partitioned;
            mFleet.run(3_500);
            assertThat(partitioned.holdsLease()).isFalse();
            mFleet.mLoss = (from, to) -> false;
            long healed = mFleet.mTicker.nanoTime();
            mFleet.run(4_000);
            assertThat(partitioned.holdsLease()).isTrue();
            assertThat(partitioned.mEngine.viewLease().confirmedSinceNanoseconds())
                    .isGreaterThan(healed);
        }

        /** Guards against a term that starts before the leases of former home nodes are denied. */
        @Test
        void changedMembersStartANewTerm() {
            FakeNode home = mHomeNodes.get(0);
            long published = mFleet.mTicker.nanoTime();
            mFleet.publish(INSTANCES, listWithout(mHomeNodes.get(1), 2));
            mFleet.run(2_000);
            assertThat(home.holdsLease()).isTrue();
            assertThat(home.mEngine.viewLease().confirmedSinceNanoseconds())
                    .isGreaterThan(published);
            FakeNode otherService =
                    nodesInRegion(Fixtures.SOURCE_REGION).stream()
                            .filter(n -> n.mInstance.getServiceId().equals("s2"))
                            .findFirst()
                            .orElseThrow();
            assertThat(otherService.mEngine.viewLease().confirmedSinceNanoseconds())
                    .isLessThan(published);
        }
    }

    @Nested
    class CrashReports extends FleetTestBase {
        /**
         * Guards against a crash report that does not reach all nodes of the service because its
         * first messages were lost.
         */
        @Test
        void reportsReachAllNodesOfTheServiceDespiteALoss() {
            mFleet.mLoss = (from, to) -> true;
            FakeNode reporter = mFleet.node("n0000");
            CrashReport report =
                    CrashReport.newBuilder()
                            .setServiceId("s0")
                            .setFingerprint(ByteString.copyFromUtf8("0123456789abcdef"))
                            .setReporter("n0000")
                            .setCrashes(1)
                            .build();
            reporter.mEngine.reportCrash(report);
            mFleet.run(500);
            mFleet.mLoss = (from, to) -> false;
            mFleet.run(1_000);
            for (FakeNode node : mFleet.live()) {
                boolean expected = node != reporter && node.mInstance.getServiceId().equals("s0");
                assertThat(node.mCrashReports).isEqualTo(expected ? List.of(report) : List.of());
            }
        }
    }
}
