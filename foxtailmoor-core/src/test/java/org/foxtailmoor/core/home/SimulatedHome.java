package org.foxtailmoor.core.home;

import io.netty.util.concurrent.MockTicker;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionController;
import org.foxtailmoor.core.admission.FleetLimits;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.membership.ViewQuorum;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;

/** Simulated node process with its target: real decisions, simulated leases and pauses. */
final class SimulatedHome {
    private static final long LEASE_NANOSECONDS = TimeUnit.SECONDS.toNanos(3);

    final String mId;
    final Deque<Runnable> mInbox = new ArrayDeque<>();
    boolean mPaused;
    int mPartition;
    RoutingSnapshot mView;
    private final MockTicker mTicker;
    private final HistoryChecker mHistory;
    private final Map<String, Long> mConfirmed = new HashMap<>();
    private final HomeRequests mRequests;
    private int mRuns;

    SimulatedHome(String id, MockTicker ticker, HistoryChecker history, RoutingSnapshot view) {
        mId = id;
        mTicker = ticker;
        mHistory = history;
        EpochClock clock = EpochClock.of(ticker, TimeUnit.NANOSECONDS.toMillis(ticker.nanoTime()));
        mRequests =
                HomeRequests.of(
                        ticker,
                        AdmissionController.of(ticker, 1),
                        FleetLimits.of(ticker),
                        IdempotencyKeyStore.of(ticker),
                        HomeTerms.of(clock, id, this::lease),
                        CrashGuard.of(ticker, "s", id));
        applyView(view);
    }

    /** Applies a view if it is newer than the current one. */
    void applyView(RoutingSnapshot view) {
        if (mView == null || view.isNewerThan(mView)) {
            mView = view;
            mConfirmed.clear();
            mRequests.update(view, "s");
        }
    }

    /** Exchanges views with another home; both then have the newer one. */
    void exchange(SimulatedHome other) {
        if (mView.isNewerThan(other.mView)) {
            other.applyView(mView);
        }
        applyView(other.mView);
        mConfirmed.put(other.mId, mTicker.nanoTime());
    }

    private ViewLease lease() {
        List<String> group = mView.service("s").homeMembers();
        long[] times = new long[group.size()];
        for (int i = 0; i < times.length; i++) {
            String member = group.get(i);
            long never = Long.MIN_VALUE / 2;
            long confirmed = mConfirmed.getOrDefault(member, never);
            times[i] = member.equals(mId) ? mTicker.nanoTime() : confirmed;
        }
        Arrays.sort(times);
        long until = times[times.length - ViewQuorum.of(times.length)] + LEASE_NANOSECONDS;
        return new ViewLease(mView.instancesVersion(), group.contains(mId), until, 0);
    }

    void tick() {
        while (!mInbox.isEmpty()) {
            mInbox.remove().run();
        }
        mRequests.tick();
    }

    void accept(Call call) {
        mRequests.accept(call);
    }

    /** One request; the target fails if the service time is a multiple of 20 ms. */
    final class Call implements HomeRequest {
        private final Route mRoute;
        private final IdempotencyKey mKey;
        private final long mDeadline;
        private final boolean mAnswerLost;
        private final boolean mTargetFails;
        private final long mServiceNanoseconds;
        private final List<Runnable> mTargetTasks;
        long mEndsNanoseconds;
        boolean mAnswered;

        Call(
                Route route,
                IdempotencyKey key,
                long serviceMs,
                boolean answerLost,
                List<Runnable> targetTasks) {
            mRoute = route;
            mKey = key;
            mDeadline = mTicker.nanoTime() + TimeUnit.SECONDS.toNanos(8);
            mServiceNanoseconds = TimeUnit.MILLISECONDS.toNanos(serviceMs);
            mAnswerLost = answerLost;
            mTargetFails = serviceMs % 20 == 0;
            mTargetTasks = targetTasks;
        }

        @Override
        public Route route() {
            return mRoute;
        }

        @Override
        public IdempotencyKey key() {
            return mKey;
        }

        @Override
        public Fingerprint fingerprint() {
            return new Fingerprint(mKey.createdMilliseconds(), mKey.text().hashCode());
        }

        @Override
        public Fingerprint crashFingerprint() {
            return fingerprint().withOrigin("", "caller");
        }

        @Override
        public long deadlineNanoseconds() {
            return mDeadline;
        }

        @Override
        public void dispatch() {
            mHistory.recordRun(this, mKey, mId + " at " + mTicker.nanoTime() / 1_000_000);
            String body = mId + "#" + mRuns++;
            mEndsNanoseconds = mTicker.nanoTime() + mServiceNanoseconds;
            mTargetTasks.add(() -> end(body));
        }

        private void end(String body) {
            if (mTicker.nanoTime() < mEndsNanoseconds) {
                mTargetTasks.add(() -> end(body));
                return;
            }
            if (mTargetFails) {
                mInbox.add(() -> mRequests.failed(this, ErrorKind.UPSTREAM_FAILED));
                return;
            }
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StoredAnswer answer = new StoredAnswer(200, new ArrayList<>(), bytes);
            mInbox.add(
                    () -> {
                        answer(answer);
                        mRequests.completed(this, answer);
                    });
        }

        @Override
        public void answer(StoredAnswer answer) {
            if (!mAnswerLost) {
                mAnswered = true;
                mHistory.recordAnswer(mKey, new String(answer.body(), StandardCharsets.UTF_8));
            }
        }

        @Override
        public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
            mHistory.recordRefusal(this, mKey, kind);
        }
    }
}
