package org.foxtailmoor.core.home;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.RoutingSnapshotBuilder;
import org.foxtailmoor.core.routing.Upstream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a key that runs twice: runs random schedules in which homes have different views,
 * are paused, restarted or partitioned, and callers repeat keys after lost answers.
 */
class AtMostOnceTest {
    private static final long FIRST_SEED = Long.getLong("foxtailmoor.seed", 1);
    private static final int SCHEDULES = Integer.getInteger("foxtailmoor.schedules", 150);
    private static final int STEP_MILLISECONDS = 20;
    private static final int DURATION_MILLISECONDS = 90_000;
    private static final String[] INSTANCE_IDS = {"a", "b", "c", "d", "e", "f", "g", "h"};

    @Test
    void noKeyRunsTwiceInRandomSchedules() {
        int keysRun = 0;
        int replays = 0;
        Map<ErrorKind, Integer> refusals = new TreeMap<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            HistoryChecker history = new Schedule(seed).run();
            assertThat(history.violations()).as("seed %d", seed).isEmpty();
            keysRun += history.keysRun();
            replays += history.replays();
            history.refusals().forEach((kind, n) -> refusals.merge(kind, n, Integer::sum));
        }
        System.out.printf(
                "at most once: seeds %d to %d, %d keys run, %d replays, refusals %s%n",
                FIRST_SEED, FIRST_SEED + SCHEDULES - 1, keysRun, replays, refusals);
        assertThat(keysRun)
                .as("keys run, so that the check is not vacuous")
                .isGreaterThan(SCHEDULES);
        assertThat(replays).isPositive();
    }

    /** One random schedule of all processes and callers, in simulated time. */
    private static final class Schedule {
        private final Random mRandom;
        private final MockTicker mTicker = Ticker.newMockTicker();
        private final HistoryChecker mHistory = new HistoryChecker();
        private final TreeSet<String> mMembers = new TreeSet<>(List.of("a", "b", "c", "d", "e"));
        private final Map<String, SimulatedHome> mHomes = new TreeMap<>();
        private final Map<String, List<Runnable>> mTargetTasks = new HashMap<>();
        private final TreeMap<Long, List<Runnable>> mEvents = new TreeMap<>();
        private final List<RoutingSnapshot> mViews = new ArrayList<>();
        private long mNow = 1_000_000;
        private String mLastChanged = "e";

        private Schedule(long seed) {
            mRandom = new Random(seed);
        }

        private HistoryChecker run() {
            mTicker.advance(mNow, TimeUnit.MILLISECONDS);
            publish();
            for (String id : INSTANCE_IDS) {
                mHomes.put(id, new SimulatedHome(id, mTicker, mHistory, mViews.get(0)));
                mTargetTasks.put(id, new ArrayList<>());
                scheduleRepeatedly(300 + mRandom.nextInt(700), () -> exchange(mHomes.get(id)));
            }
            scheduleRepeatedly(3_000 + mRandom.nextInt(9_000), this::changeMembers);
            scheduleRepeatedly(2_000 + mRandom.nextInt(8_000), this::injectFault);
            scheduleRepeatedly(60, this::sendNewKey);
            long end = mNow + DURATION_MILLISECONDS;
            while (mNow < end) {
                step();
            }
            return mHistory;
        }

        private void step() {
            mTicker.advance(STEP_MILLISECONDS, TimeUnit.MILLISECONDS);
            mNow += STEP_MILLISECONDS;
            while (!mEvents.isEmpty() && mEvents.firstKey() <= mNow) {
                mEvents.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            for (SimulatedHome home : new ArrayList<>(mHomes.values())) {
                List<Runnable> tasks = mTargetTasks.get(home.mId);
                List<Runnable> running = new ArrayList<>(tasks);
                tasks.clear();
                running.forEach(Runnable::run);
                if (!home.mPaused) {
                    home.tick();
                }
            }
        }

        private void schedule(long milliseconds, Runnable event) {
            mEvents.computeIfAbsent(milliseconds, time -> new ArrayList<>()).add(event);
        }

        private void scheduleRepeatedly(int milliseconds, Runnable event) {
            schedule(mNow + milliseconds / 2 + mRandom.nextInt(milliseconds), event);
            schedule(mNow + milliseconds, () -> scheduleRepeatedly(milliseconds, event));
        }

        private void publish() {
            RoutingSnapshotBuilder fleet =
                    new RoutingSnapshotBuilder()
                            .service("s", 1)
                            .route("r", "s", "POST", "/", false);
            fleet.upstreams("s", "doo", "sapporo-a", mMembers.toArray(new String[0]));
            RoutingSnapshot view = fleet.build(1, mViews.size() + 1);
            mViews.add(view);
            for (SimulatedHome home : mHomes.values()) {
                if (mRandom.nextInt(3) > 0) {
                    schedule(mNow + mRandom.nextInt(1_500), () -> deliver(home.mId, view));
                }
            }
        }

        private void deliver(String id, RoutingSnapshot view) {
            SimulatedHome home = mHomes.get(id);
            if (!home.mPaused && home.mPartition == 0) {
                home.applyView(view);
            }
        }

        private void changeMembers() {
            boolean revertLast = mRandom.nextBoolean();
            String id =
                    revertLast ? mLastChanged : INSTANCE_IDS[mRandom.nextInt(INSTANCE_IDS.length)];
            mLastChanged = id;
            if (mMembers.contains(id) && mMembers.size() > 5) {
                mMembers.remove(id);
            } else {
                mMembers.add(id);
            }
            publish();
        }

        private void exchange(SimulatedHome home) {
            for (SimulatedHome other : mHomes.values()) {
                if (other != home && !home.mPaused && !other.mPaused) {
                    if (other.mPartition == home.mPartition && mRandom.nextInt(5) > 0) {
                        home.exchange(other);
                    }
                }
            }
        }

        private void injectFault() {
            SimulatedHome home = mHomes.get(INSTANCE_IDS[mRandom.nextInt(INSTANCE_IDS.length)]);
            long until = mNow + 500 + mRandom.nextInt(20_000);
            switch (mRandom.nextInt(4)) {
                case 0 -> {
                    home.mPaused = true;
                    schedule(until, () -> home.mPaused = false);
                }
                case 1 -> restart(home);
                case 2 -> {
                    for (SimulatedHome each : mHomes.values()) {
                        each.mPartition = mRandom.nextInt(2);
                    }
                    schedule(until, () -> mHomes.values().forEach(each -> each.mPartition = 0));
                }
                default -> {
                    home.mPartition = 2;
                    schedule(until, () -> home.mPartition = 0);
                }
            }
        }

        /** Restarts a process with the newest view of its reachable peers, as a start requires. */
        private void restart(SimulatedHome home) {
            RoutingSnapshot newest = mViews.get(0);
            for (SimulatedHome peer : mHomes.values()) {
                boolean answers = peer != home && !peer.mPaused && peer.mPartition == 0;
                newest = answers && peer.mView.isNewerThan(newest) ? peer.mView : newest;
            }
            mTargetTasks.get(home.mId).clear();
            mHomes.put(home.mId, new SimulatedHome(home.mId, mTicker, mHistory, newest));
        }

        private void sendNewKey() {
            String text =
                    String.format(
                            "%08x-0000-7000-8000-%012x", mRandom.nextInt(), mRandom.nextInt());
            long created = mNow - 1_900 + mRandom.nextInt(3_800);
            IdempotencyKey key = new IdempotencyKey(text, created);
            int sends = 1 + mRandom.nextInt(5);
            long time = mNow;
            for (int i = 0; i < sends; i++) {
                schedule(time, () -> send(key));
                time += mRandom.nextInt(3) == 0 ? mRandom.nextInt(20_000) : mRandom.nextInt(800);
            }
        }

        /** Sends a request routed by the view of an entry node that may be one version behind. */
        private void send(IdempotencyKey key) {
            int lag = Math.min(mRandom.nextInt(2), mViews.size() - 1);
            RoutingSnapshot view = mViews.get(mViews.size() - 1 - lag);
            Upstream upstream = view.service("s").homeOf(key);
            SimulatedHome home = mHomes.get(upstream.id());
            long service = 10 + mRandom.nextInt(mRandom.nextInt(10) == 0 ? 2_000 : 150);
            boolean answerLost = mRandom.nextInt(4) == 0;
            SimulatedHome.Call call =
                    home
                    .new Call(
                            view.routeById("r"),
                            key,
                            service,
                            answerLost,
                            mTargetTasks.get(home.mId));
            home.mInbox.add(() -> home.accept(call));
        }
    }
}
