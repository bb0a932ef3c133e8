package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.admission.DeadlineAdmission;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.foxtailmoor.protocol.generated.ServiceEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SlotRequestsTest {
    private static final String ADDRESS = "10.0.0.1";
    private static final int PORT = 7;

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final DeadlineAdmission mAdmission = DeadlineAdmission.of(mTicker, 1);
    private final SlotRequests mRequests = SlotRequests.of(mAdmission, ADDRESS, PORT);
    private long mVersion;

    private final class TestRequest implements HomeRequest {
        private final long mDeadline = mTicker.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        private boolean mDispatched;
        private ErrorKind mRefusal;

        @Override
        public Route route() {
            return null;
        }

        @Override
        public IdempotencyKey key() {
            return null;
        }

        @Override
        public Fingerprint fingerprint() {
            throw new UnsupportedOperationException();
        }

        @Override
        public long deadlineNanoseconds() {
            return mDeadline;
        }

        @Override
        public void dispatch() {
            mDispatched = true;
        }

        @Override
        public void answer(StoredAnswer answer) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
            assertThat(mRefusal).as("one outcome").isNull();
            mRefusal = kind;
        }
    }

    @BeforeEach
    void publish() {
        publish("i-1", "s", false);
    }

    private void publish(String id, String service, boolean leaving) {
        mVersion++;
        DocumentVersion version = DocumentVersion.newBuilder().setNumber(mVersion).build();
        Instance instance =
                Instance.newBuilder()
                        .setId(id)
                        .setServiceId(service)
                        .setAddress(ADDRESS)
                        .setNodePort(PORT)
                        .setSlots(2)
                        .setLeaving(leaving)
                        .build();
        List<Entry> entries =
                List.of(
                        Entry.newBuilder()
                                .setId("s")
                                .setServiceEntry(ServiceEntry.getDefaultInstance())
                                .build());
        mRequests.update(
                RoutingSnapshot.of(
                        CatalogueSnapshot.of(version, entries), version, List.of(instance)),
                "s");
    }

    private TestRequest accept() {
        TestRequest request = new TestRequest();
        mRequests.accept(request);
        return request;
    }

    private static RequestStart start(String service, String instance) {
        return RequestStart.newBuilder().setServiceId(service).setInstanceId(instance).build();
    }

    @Nested
    class RefusalReasons {
        /**
         * Guards against sending a request to a target that has reused the address of another one.
         */
        @Test
        void requestForAnotherTargetIsRefused() {
            assertThat(mRequests.refusalReason(start("s", "i-1"))).isNull();
            assertThat(mRequests.refusalReason(start("s", "i-0"))).isEqualTo(ErrorKind.NO_UPSTREAM);
            publish("i-1", "t", false);
            assertThat(mRequests.refusalReason(start("s", "i-1"))).isEqualTo(ErrorKind.NO_UPSTREAM);
        }

        @Test
        void leavingTargetGetsNoNewRequest() {
            publish("i-1", "s", true);
            assertThat(mRequests.refusalReason(start("s", "i-1"))).isEqualTo(ErrorKind.LEAVING);
        }
    }

    @Nested
    class Slots {
        @Test
        void slotsAreTakenFromTheInstanceList() {
            accept();
            accept();
            TestRequest third = accept();
            assertThat(third.mDispatched).isFalse();
            assertThat(mAdmission.load().getRunning()).isEqualTo(2);
        }

        /** Guards against dispatching requests to a target that has reported that it is leaving. */
        @Test
        void leavingTargetRefusesQueuedButNotRunningRequests() {
            TestRequest running = accept();
            accept();
            TestRequest queued = accept();
            publish("i-1", "s", true);
            assertThat(queued.mRefusal).isEqualTo(ErrorKind.LEAVING);
            assertThat(running.mRefusal).isNull();
        }

        /** Guards against a slot that is not released when its request ends. */
        @Test
        void everyOutcomeReleasesTheSlot() {
            for (int round = 0; round < 3; round++) {
                TestRequest first = accept();
                TestRequest second = accept();
                assertThat(second.mDispatched).isTrue();
                mRequests.completed(first, new StoredAnswer(200, List.of(), new byte[0]));
                mRequests.failed(second, ErrorKind.UPSTREAM_FAILED);
                TestRequest third = accept();
                mRequests.notRun(third, ErrorKind.UPSTREAM_REJECTED);
                assertThat(third.mRefusal).isEqualTo(ErrorKind.UPSTREAM_REJECTED);
                TestRequest fourth = accept();
                assertThat(mRequests.cancel(fourth)).isEqualTo(Cancellation.CANCEL_AT_TARGET);
                mRequests.failed(fourth, ErrorKind.CANCELLED);
            }
            assertThat(mRequests.isIdle()).isTrue();
        }

        @Test
        void cancelledQueuedRequestNeverRuns() {
            TestRequest running = accept();
            accept();
            TestRequest queued = accept();
            assertThat(mRequests.cancel(queued)).isEqualTo(Cancellation.NOT_RUN);
            mRequests.completed(running, new StoredAnswer(200, List.of(), new byte[0]));
            assertThat(queued.mDispatched).isFalse();
        }
    }
}
