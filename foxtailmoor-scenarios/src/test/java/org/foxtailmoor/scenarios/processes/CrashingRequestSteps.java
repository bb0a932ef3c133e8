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
    private static final LoadKind OTHER =
            new LoadKind("lookup", 1, 20, "GET", "/rack-catalogue/item", false, 0, 512, 2_000);
    private static final Map<String, String> CRASH = Map.of("Standin-Fault", "crash");
    private static final String POISONED = "POISONED";
    private static final long POISONED_SECONDS = 30;
    private static final long SPREAD_SECONDS = 10;
    private static final int MORE_ANSWERS = 60;

    private final ProcessFleet mFleet;

    public CrashingRequestSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @Given("callers send other lookups through every node")
    public void callersSendLookups() {
        mFleet.newLoad(false).start(OTHER, Map.of());
    }

    @When("a caller sends a request that crashes its target until it is refused as poisoned")
    public void sendsUntilPoisoned() {
        List<InetSocketAddress> entries = mFleet.fleet().callers(null);
        int[] sent = {0};
        Poll.until(
                "refused as poisoned",
                POISONED_SECONDS,
                () -> isPoisoned(entries.get(sent[0]++ % entries.size())));
    }

    @Then("after the spread of the counts every node refuses it as poisoned and not run")
    public void everyNodeRefuses() {
        for (InetSocketAddress entry : mFleet.fleet().callers(null)) {
            Poll.until("poisoned at " + entry, SPREAD_SECONDS, () -> isPoisoned(entry));
        }
    }

    /** The counts of one home reach the others by adverts, so that each may take it once more. */
    @Then("targets crashed at least {int} and at most {int} times, and no more after that")
    public void targetsCrashed(int least, int most) {
        long crashes = crashes();
        assertThat(crashes).isBetween((long) least, (long) most);
        for (InetSocketAddress entry : mFleet.fleet().callers(null)) {
            assertThat(isPoisoned(entry)).as("poisoned at " + entry).isTrue();
        }
        assertThat(crashes()).isEqualTo(crashes);
    }

    @Then("once its targets serve again the other lookups go on without an error")
    public void othersGoOn() {
        awaitRecovery();
        long start = System.nanoTime();
        int from = mFleet.callers().history().size();
        Poll.until(
                "more answers",
                POISONED_SECONDS,
                () -> mFleet.callers().history().size() >= from + MORE_ANSWERS);
        mFleet.load().stop();
        List<CallRecord> seen = mFleet.callers().history();
        assertThat(
                        seen.subList(from, seen.size()).stream()
                                .filter(record -> record.sentNanoseconds() - start > 0)
                                .filter(record -> record.verdict() != Verdict.RIGHT))
                .isEmpty();
        assertThat(mFleet.check().falseSuccesses()).isEmpty();
        assertThat(
                        seen.stream()
                                .filter(record -> record.request().kind().equals(OTHER))
                                .filter(record -> record.error().equals(POISONED)))
                .as("lookups that were poisoned in place of the crashing request")
                .isEmpty();
    }

    /**
     * A crashed target refuses connections for a second. While one of them does, a lookup can end
     * as not run because the retry budget is used up.
     */
    private void awaitRecovery() {
        for (NodePlan plan : mFleet.plans()) {
            Poll.until("target beside " + plan.id(), SPREAD_SECONDS, () -> accepts(plan));
        }
        for (InetSocketAddress entry : mFleet.fleet().callers(null)) {
            Poll.until("lookups at " + entry, SPREAD_SECONDS, () -> isServed(entry));
        }
    }

    private boolean accepts(NodePlan plan) {
        return mFleet.client()
                .get(plan.target(), "/health")
                .handle((answer, failure) -> failure == null)
                .join();
    }

    private boolean isServed(InetSocketAddress entry) {
        LoadRequest request = LoadRequest.create(OTHER);
        return mFleet.callers().send(request, entry, Map.of()).join().verdict() == Verdict.RIGHT;
    }

    private boolean isPoisoned(InetSocketAddress entry) {
        LoadRequest request = LoadRequest.create(CRASHING);
        CallRecord record = mFleet.callers().send(request, entry, CRASH).join();
        return record.error().equals(POISONED) && record.verdict() == Verdict.NOT_RUN;
    }

    private long crashes() {
        long crashes = 0;
        for (NodePlan plan : mFleet.plans()) {
            crashes += mFleet.target(plan).get("crashes").asLong();
        }
        return crashes;
    }
}
