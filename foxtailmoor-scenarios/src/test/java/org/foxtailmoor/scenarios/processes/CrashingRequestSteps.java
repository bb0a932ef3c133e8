package org.foxtailmoor.scenarios.processes;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.standins.fleet.NodePlan;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.LoadRequest;
import org.foxtailmoor.standins.load.Verdict;

/** Steps about a request that crashes the targets that run it. */
public final class CrashingRequestSteps {
    private static final LoadKind CRASHING =
            new LoadKind("crashing", 1, 1, "GET", "/rack-catalogue/crash", false, 0, 512, 2_000);
    private static final LoadKind OTHER_LOOKUP =
            new LoadKind("lookup", 1, 20, "GET", "/rack-catalogue/item", false, 0, 512, 2_000);
    private static final Map<String, String> CRASH_FAULT = Map.of("Standin-Fault", "crash");
    private static final String POISONED = "POISONED";
    private static final long POISONED_TIMEOUT_SECONDS = 30;
    private static final long PROPAGATION_TIMEOUT_SECONDS = 10;
    private static final int MINIMUM_ANSWERS = 60;

    private final ProcessFleet mFleet;

    public CrashingRequestSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @Given("callers send other lookups through every node")
    public void callersSendLookups() {
        mFleet.newLoad(false).start(OTHER_LOOKUP, Map.of());
    }

    @When("a caller sends a request that crashes its target until it is refused as poisoned")
    public void sendsUntilPoisoned() {
        List<InetSocketAddress> entries = mFleet.fleet().callers(null);
        int[] sent = {0};
        Poll.until(
                "refused as poisoned",
                POISONED_TIMEOUT_SECONDS,
                () -> isPoisoned(entries.get(sent[0]++ % entries.size())));
    }

    @Then("once the crash counts have propagated every node refuses it as poisoned and not run")
    public void everyNodeRefuses() {
        for (InetSocketAddress entry : mFleet.fleet().callers(null)) {
            Poll.until(
                    "poisoned at " + entry, PROPAGATION_TIMEOUT_SECONDS, () -> isPoisoned(entry));
        }
    }

    /** Crash counts reach the other homes by adverts; until then each may run the request once. */
    @Then("targets crashed at least {int} and at most {int} times, and no more after that")
    public void targetsCrashed(int minimum, int maximum) {
        long crashes = countCrashes();
        assertThat(crashes).isBetween((long) minimum, (long) maximum);
        for (InetSocketAddress entry : mFleet.fleet().callers(null)) {
            assertThat(isPoisoned(entry)).as("poisoned at " + entry).isTrue();
        }
        assertThat(countCrashes()).isEqualTo(crashes);
    }

    @Then("once its targets have recovered the other lookups continue without an error")
    public void othersContinue() {
        awaitRecovery();
        long start = System.nanoTime();
        int from = mFleet.callers().history().size();
        Poll.until(
                "more answers",
                POISONED_TIMEOUT_SECONDS,
                () -> mFleet.callers().history().size() >= from + MINIMUM_ANSWERS);
        mFleet.load().stop();
        List<CallRecord> history = mFleet.callers().history();
        assertThat(
                        history.subList(from, history.size()).stream()
                                .filter(record -> record.sentNanoseconds() - start > 0)
                                .filter(record -> record.verdict() != Verdict.RIGHT))
                .isEmpty();
        assertThat(mFleet.checkHistory().falseSuccesses()).isEmpty();
        assertThat(
                        history.stream()
                                .filter(record -> record.request().kind().equals(OTHER_LOOKUP))
                                .filter(record -> record.error().equals(POISONED)))
                .as("other lookups that were refused as poisoned")
                .isEmpty();
    }

    /**
     * A crashed target refuses connections for a second. Meanwhile a lookup can be refused as not
     * run because the retry budget is used up.
     */
    private void awaitRecovery() {
        for (NodePlan plan : mFleet.plans()) {
            Poll.until(
                    "connection to the target of " + plan.id(),
                    PROPAGATION_TIMEOUT_SECONDS,
                    () -> acceptsConnections(plan));
        }
        for (InetSocketAddress entry : mFleet.fleet().callers(null)) {
            Poll.until("lookups at " + entry, PROPAGATION_TIMEOUT_SECONDS, () -> isServed(entry));
        }
    }

    private boolean acceptsConnections(NodePlan plan) {
        return mFleet.client()
                .get(plan.target(), "/health")
                .handle((answer, failure) -> failure == null)
                .join();
    }

    private boolean isServed(InetSocketAddress entry) {
        LoadRequest request = LoadRequest.create(OTHER_LOOKUP);
        return mFleet.callers().send(request, entry, Map.of()).join().verdict() == Verdict.RIGHT;
    }

    private boolean isPoisoned(InetSocketAddress entry) {
        LoadRequest request = LoadRequest.create(CRASHING);
        CallRecord record = mFleet.callers().send(request, entry, CRASH_FAULT).join();
        return record.error().equals(POISONED) && record.verdict() == Verdict.NOT_RUN;
    }

    private long countCrashes() {
        long crashes = 0;
        for (NodePlan plan : mFleet.plans()) {
            crashes += mFleet.target(plan).get("crashes").asLong();
        }
        return crashes;
    }
}
