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

        /** Guards against a platform that replaces several instances in one list. */
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
        private final List<FakeNode> mHomes =
                inRegion(Fixtures.SOURCE_REGION).stream()
                        .filter(node -> node.mInstance.getServiceId().equals("s1"))
                        .toList();

        /** Returns the list without one member of the service s1. */
        private Document listWithout(FakeNode removed, long revision) {
            List<Instance> instances = new ArrayList<>(mInstances);
            instances.remove(removed.mInstance);
            return InstanceCodec.encode(revision, instances);
        }

        private void dropUpdates() {
            mFleet.mTamper =
                    message -> message.hasUpdate() ? ControlMessage.getDefaultInstance() : message;
        }

        /** Guards against homes that cannot work in a healthy fleet, and against strangers. */
        @Test
        void everyMemberInTheHomeRegionHoldsItsLeaseThroughout() {
            for (int step = 0; step < 50; step++) {
                mFleet.run(100);
                assertThat(inRegion(Fixtures.SOURCE_REGION)).allMatch(FakeNode::holdsLease);
            }
            assertThat(inRegion("r1")).noneMatch(FakeNode::holdsLease);
        }

        /** Guards against a home that acts by an older list than its peers have. */
        @Test
        void holderOfAnOlderListIsDenied() {
            FakeNode old = mHomes.get(0);
            // The old home still exchanges adverts, but gets no update.
            dropUpdates();
            Document changed = listWithout(mHomes.get(1), 2);
            for (FakeNode node : mFleet.live()) {
                if (node != old) {
                    node.mEngine.onSourceRead(INSTANCES, changed);
                }
            }
            mFleet.run(50);
            assertThat(old.version(INSTANCES).getNumber()).isEqualTo(1);
            mFleet.run(2_950);
            assertThat(old.holdsLease()).isFalse();
            assertThat(mHomes.get(2).holdsLease()).isTrue();
        }

        /** Guards against a member that confirms an old list after it heard of a newer one. */
        @Test
        void memberThatOnlyHeardOfANewerListDenies() {
            FakeNode member = mHomes.get(0);
            Document changed = listWithout(mHomes.get(1), 2);
            dropUpdates();
            mHomes.get(2).mEngine.onSourceRead(INSTANCES, changed);
            mFleet.runUntil(
                    5_000, () -> status(member, INSTANCES).newestHeard().equals(changed.version()));
            assertThat(member.version(INSTANCES).getNumber()).isEqualTo(1);
            mFleet.run(3_000);
            assertThat(mHomes).noneMatch(node -> node.holdsLease() && node != mHomes.get(2));
        }

        /** Guards against a lease by replies that waited in the buffers of a paused process. */
        @Test
        void repliesCountFromTheQuestion() {
            FakeNode paused = mHomes.get(0);
            mFleet.mDelayJitter = 2_500 * FakeFleet.MILLISECOND;
            mFleet.run(2_500);
            paused.pause();
            mFleet.run(5_000);
            paused.resume();
            assertThat(paused.holdsLease()).isFalse();
        }

        /** Guards against a paused home that goes on with its old lease. */
        @Test
        void pausedNodeHoldsNoLeaseWhenItResumes() {
            FakeNode paused = mHomes.get(0);
            paused.pause();
            mFleet.run(5_000);
            Document changed = listWithout(mHomes.get(1), 2);
            mFleet.publish(INSTANCES, changed);
            mFleet.run(5_000);
            assertThat(paused.holdsLease()).isFalse();
            paused.resume();
            assertThat(paused.holdsLease()).isFalse();
            mFleet.run(3_000);
            assertThat(paused.version(INSTANCES)).isEqualTo(changed.version());
            assertThat(paused.holdsLease()).isTrue();
        }

        /** Guards against a cut-off minority that acts as home, and against an early new term. */
        @Test
        void lapsedLeaseStartsANewTerm() {
            FakeNode cut = mHomes.get(0);
            long before = cut.mEngine.viewLease().confirmedSinceNanoseconds();
            mFleet.run(10_000);
            assertThat(cut.mEngine.viewLease().confirmedSinceNanoseconds()).isEqualTo(before);
            mFleet.mLoss = (from, to) -> from == cut || to == cut;
            mFleet.run(3_500);
            assertThat(cut.holdsLease()).isFalse();
            mFleet.mLoss = (from, to) -> false;
            long healed = mFleet.mTicker.nanoTime();
            mFleet.run(4_000);
            assertThat(cut.holdsLease()).isTrue();
            assertThat(cut.mEngine.viewLease().confirmedSinceNanoseconds()).isGreaterThan(healed);
        }

        /** Guards against a term that starts before the former homes' leases are denied. */
        @Test
        void changedMembersStartANewTerm() {
            FakeNode home = mHomes.get(0);
            long published = mFleet.mTicker.nanoTime();
            mFleet.publish(INSTANCES, listWithout(mHomes.get(1), 2));
            mFleet.run(2_000);
            assertThat(home.holdsLease()).isTrue();
            assertThat(home.mEngine.viewLease().confirmedSinceNanoseconds())
                    .isGreaterThan(published);
            FakeNode otherService =
                    inRegion(Fixtures.SOURCE_REGION).stream()
                            .filter(n -> n.mInstance.getServiceId().equals("s2"))
                            .findFirst()
                            .orElseThrow();
            assertThat(otherService.mEngine.viewLease().confirmedSinceNanoseconds())
                    .isLessThan(published);
        }
    }

    @Nested
    class CrashReports extends FleetTestBase {
        /** Guards against a crashing request that nodes have to learn anew after a loss. */
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
