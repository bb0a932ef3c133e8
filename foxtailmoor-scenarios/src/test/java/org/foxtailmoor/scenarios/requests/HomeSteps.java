package org.foxtailmoor.scenarios.requests;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.AdmissionController;
import org.foxtailmoor.core.admission.FleetLimits;
import org.foxtailmoor.core.distribution.ViewLease;
import org.foxtailmoor.core.home.CrashGuard;
import org.foxtailmoor.core.home.Fingerprint;
import org.foxtailmoor.core.home.HomeRequest;
import org.foxtailmoor.core.home.HomeRequests;
import org.foxtailmoor.core.home.HomeTerms;
import org.foxtailmoor.core.home.IdempotencyKeyStore;
import org.foxtailmoor.core.home.StoredAnswer;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.IdempotencyKey;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.core.routing.RoutingSnapshot;

/** Steps for requests at their home node; the simulated target runs until told to answer. */
public final class HomeSteps {
    private static final long EPOCH_MILLISECONDS = 1_700_000_000_000L;
    private static final long LEASE_SECONDS = 3;

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final EpochClock mClock = EpochClock.of(mTicker, EPOCH_MILLISECONDS);
    private final Map<String, Order> mOrders = new HashMap<>();
    private final Map<Integer, IdempotencyKey> mKeys = new HashMap<>();
    private final List<Order> mRepeats = new ArrayList<>();
    private final List<Order> mDispatched = new ArrayList<>();
    private RoutingSnapshot mSnapshot;
    private HomeRequests mHome;
    private ViewLease mLease;

    @Given("a home with {int} slot(s)")
    public void home(int slots) {
        TestCatalogue catalogue = new TestCatalogue();
        catalogue.service("order-desk", slots);
        catalogue.route("/", "order-desk");
        mSnapshot = catalogue.build(1);
        restart();
        mTicker.advance(20, TimeUnit.SECONDS);
        renewLease();
    }

    @When("the home restarts")
    public void restart() {
        renewLease();
        mHome =
                HomeRequests.of(
                        mTicker,
                        AdmissionController.of(mTicker, 1),
                        FleetLimits.of(mTicker),
                        IdempotencyKeyStore.of(mTicker),
                        HomeTerms.of(mClock, "order-desk", () -> mLease),
                        CrashGuard.of(mTicker, "order-desk", "order-desk"));
        mHome.update(mSnapshot, "order-desk");
        mHome.tick();
    }

    @When("the home is paused for {int} seconds")
    public void pause(int seconds) {
        assertThat(seconds).isGreaterThan((int) LEASE_SECONDS);
        mTicker.advance(seconds, TimeUnit.SECONDS);
    }

    @Given("order {string} is running")
    public void orderIsRunning(String name) {
        if (!mOrders.containsKey(name)) {
            accept(name, null);
        }
        assertThat(mDispatched).contains(mOrders.get(name));
    }

    @Given("order {string} with key {int} is running")
    public void orderWithKeyIsRunning(String name, int key) {
        accept(name, key);
        orderIsRunning(name);
    }

    @Given("order {string} is queued")
    public void orderIsQueued(String name) {
        accept(name, null);
        orderHasNotRun(name);
    }

    @Given("order {string} with key {int} is queued")
    public void orderWithKeyIsQueued(String name, int key) {
        accept(name, key);
        orderHasNotRun(name);
    }

    @When("the caller repeats key {int}")
    public void repeat(int key) {
        mRepeats.add(accept("repeat " + mRepeats.size(), key));
    }

    @When("the caller cancels order {string}")
    public void cancel(String name) {
        mHome.cancel(mOrders.get(name));
    }

    @When("the target answers order {string}")
    public void answer(String name) {
        byte[] body = name.getBytes(StandardCharsets.UTF_8);
        mHome.completed(mOrders.get(name), new StoredAnswer(200, List.of(), body));
    }

    @When("the target crashes")
    public void crash() {
        mHome.crashed(List.copyOf(mDispatched));
    }

    @When("the home is leaving")
    public void leave() {
        mHome.leave();
    }

    @Then("order {string} has not run")
    public void orderHasNotRun(String name) {
        assertThat(mDispatched).doesNotContain(mOrders.get(name));
    }

    @Then("order {string} is refused as {string}")
    public void orderIsRefused(String name, String kind) {
        Order order = mOrders.containsKey(name) ? mOrders.get(name) : accept(name, null);
        assertThat(order.mRefusal).isEqualTo(ErrorKind.of(kind));
    }

    @Then("the last repeat is refused as {string}")
    public void lastRepeatIsRefused(String kind) {
        assertThat(mRepeats.get(mRepeats.size() - 1).mRefusal).isEqualTo(ErrorKind.of(kind));
    }

    @Then("key {int} has run once")
    public void keyHasRunOnce(int key) {
        assertThat(mDispatched).filteredOn(order -> mKeys.get(key).equals(order.mKey)).hasSize(1);
    }

    @Then("every repeat of key {int} got the same answer")
    public void repeatsGotTheSameAnswer(int key) {
        assertThat(mRepeats).extracting(order -> order.mAnswer).doesNotContainNull();
        assertThat(mRepeats)
                .extracting(order -> order.mAnswer)
                .containsOnly(mRepeats.get(0).mAnswer);
    }

    private void renewLease() {
        long until = mTicker.nanoTime() + TimeUnit.SECONDS.toNanos(LEASE_SECONDS);
        mLease = new ViewLease(mSnapshot.instancesVersion(), true, until, 0);
    }

    private Order accept(String name, Integer key) {
        Order order = new Order(key == null ? null : mKeys.computeIfAbsent(key, this::newKey));
        mOrders.put(name, order);
        mHome.accept(order);
        return order;
    }

    private IdempotencyKey newKey(int number) {
        return new IdempotencyKey("key-" + number, mClock.milliseconds());
    }

    private final class Order implements HomeRequest {
        private final IdempotencyKey mKey;
        private final long mDeadline = mTicker.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        private StoredAnswer mAnswer;
        private ErrorKind mRefusal;

        private Order(IdempotencyKey key) {
            mKey = key;
        }

        @Override
        public Route route() {
            return mSnapshot.routeById("/");
        }

        @Override
        public IdempotencyKey key() {
            return mKey;
        }

        @Override
        public Fingerprint fingerprint() {
            return new Fingerprint(1, mKey == null ? System.identityHashCode(this) : 2);
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
            mDispatched.add(this);
        }

        @Override
        public void answer(StoredAnswer answer) {
            mAnswer = answer;
        }

        @Override
        public void refuse(ErrorKind kind, int retryAfterMilliseconds) {
            mRefusal = kind;
        }
    }
}
