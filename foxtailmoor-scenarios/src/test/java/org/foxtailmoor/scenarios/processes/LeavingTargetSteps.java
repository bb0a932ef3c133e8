package org.foxtailmoor.scenarios.processes;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.fleet.NodePlan;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.Verdict;

/** Steps about leaving targets while updates of the instance list are delayed. */
public final class LeavingTargetSteps {
    /** Catalogue version n sets the deadline of the lookup route to 2 s + n ms. */
    private static final int LONG_DEADLINE_VERSION = 10_000;

    private static final LoadKind LONG_DEADLINE_LOOKUP =
            new LoadKind("lookup", 1, 15, "GET", "/rack-catalogue/item", false, 0, 512, 11_000);
    private static final long LEAVING_TIMEOUT_SECONDS = 20;
    private static final int MINIMUM_LOOKUPS = 30;

    private final ProcessFleet mFleet;
    private long mLeavingSinceNanoseconds;

    public LeavingTargetSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @Given("callers send long-deadline lookups, which take {int} seconds at the target of {word}")
    public void callersSendLongDeadlineLookups(int seconds, String id) {
        mFleet.publishAndConverge(LONG_DEADLINE_VERSION);
        mFleet.setTargetBehaviour(
                mFleet.plan(id),
                "{\"distribution\":\"CONSTANT\",\"service_milliseconds\":" + seconds + "000}");
        mFleet.newLoad(false).start(LONG_DEADLINE_LOOKUP, Map.of());
    }

    @Given("the instance list is delayed by {int} seconds")
    public void instanceListIsDelayed(int seconds) {
        mFleet.setPlatformFaults("{\"instances_lag_milliseconds\":" + seconds + "000}");
    }

    @When("{word} is listed as leaving and its node gets SIGTERM while its target is busy")
    public void leavesBySignal(String id) {
        awaitRunningRequests(id);
        mFleet.publishLeaving(id);
        mFleet.process(id).terminate();
        mLeavingSinceNanoseconds = System.nanoTime();
    }

    @When("{word} is only listed as leaving and its node learns it while its target is busy")
    public void leavesByList(String id) {
        mFleet.publishLeaving(id);
        NodePlan plan = mFleet.plan(id);
        Poll.until(
                id + " is leaving",
                LEAVING_TIMEOUT_SECONDS,
                () -> mFleet.client().getJson(plan.admin(), "/status").get("leaving").asBoolean());
        mLeavingSinceNanoseconds = System.nanoTime();
        assertThat(mFleet.target(plan).get("running").asInt()).as("running requests").isPositive();
    }

    /** Checks that the node is alive at first, since an exited node cannot refuse requests. */
    @Then("the target of {word} gets no new requests from {int} seconds later until its node exits")
    public void receivesNoNewRequests(String id, int seconds) {
        NodePlan plan = mFleet.plan(id);
        long start = mLeavingSinceNanoseconds + TimeUnit.SECONDS.toNanos(seconds);
        Poll.until("the notice period has passed", seconds + 1L, () -> System.nanoTime() >= start);
        assertThat(mFleet.process(id).isAlive())
                .as(id + " is still completing its requests")
                .isTrue();
        long arrivedBefore = countArrivals(plan);
        int answersBefore = mFleet.callers().history().size();
        Poll.until(
                id + " has exited", LEAVING_TIMEOUT_SECONDS, () -> !mFleet.process(id).isAlive());
        Poll.until(
                "more lookups have ended",
                LEAVING_TIMEOUT_SECONDS,
                () -> mFleet.callers().history().size() >= answersBefore + MINIMUM_LOOKUPS);
        assertThat(countArrivals(plan))
                .as("requests that reached the target")
                .isEqualTo(arrivedBefore);
    }

    @Then("every lookup got its complete and correct answer")
    public void everyLookupGotItsAnswer() {
        mFleet.load().stop();
        List<CallRecord> incorrect =
                mFleet.callers().history().stream()
                        .filter(record -> record.request().kind().equals(LONG_DEADLINE_LOOKUP))
                        .filter(record -> record.verdict() != Verdict.RIGHT)
                        .toList();
        assertThat(incorrect).isEmpty();
    }

    private void awaitRunningRequests(String id) {
        NodePlan plan = mFleet.plan(id);
        Poll.until(
                "running requests at the target of " + id,
                LEAVING_TIMEOUT_SECONDS,
                () -> mFleet.target(plan).get("running").asInt() >= 2);
    }

    private long countArrivals(NodePlan plan) {
        JsonNode target = mFleet.target(plan);
        long arrivals = 0;
        for (String count : List.of("running", "queued", "done", "shed", "cancelled")) {
            arrivals += target.get(count).asLong();
        }
        return arrivals;
    }
}
