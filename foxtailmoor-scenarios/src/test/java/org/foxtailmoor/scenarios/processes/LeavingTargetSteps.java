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

/** Steps about targets that leave while the instance list lags. */
public final class LeavingTargetSteps {
    /** The lookup route of version n has a deadline of 2 s + n ms. */
    private static final int LONG_DEADLINE_VERSION = 10_000;

    private static final LoadKind PATIENT_LOOKUP =
            new LoadKind("lookup", 1, 15, "GET", "/rack-catalogue/item", false, 0, 512, 11_000);
    private static final long LEAVING_SECONDS = 20;
    private static final int MORE_LOOKUPS = 30;

    private final ProcessFleet mFleet;
    private long mLeftNanoseconds;

    public LeavingTargetSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @Given("callers send patient lookups, which take {int} seconds at the target of {word}")
    public void callersSendPatientLookups(int seconds, String id) {
        mFleet.publishAndConverge(LONG_DEADLINE_VERSION);
        mFleet.setTargetBehaviour(
                mFleet.plan(id),
                "{\"distribution\":\"CONSTANT\",\"service_milliseconds\":" + seconds + "000}");
        mFleet.newLoad(false).start(PATIENT_LOOKUP, Map.of());
    }

    @Given("the instance list lags by {int} seconds")
    public void theListLags(int seconds) {
        mFleet.setPlatformFaults("{\"instances_lag_milliseconds\":" + seconds + "000}");
    }

    @When("the list is told that {word} leaves and its node gets SIGTERM during its work")
    public void leavesBySignal(String id) {
        awaitWork(id);
        mFleet.publishLeaving(id);
        mFleet.process(id).terminate();
        mLeftNanoseconds = System.nanoTime();
    }

    @When("only the list says that {word} leaves, and its node has heard it during its work")
    public void leavesByList(String id) {
        mFleet.publishLeaving(id);
        NodePlan plan = mFleet.plan(id);
        Poll.until(
                id + " is leaving",
                LEAVING_SECONDS,
                () -> mFleet.client().getJson(plan.admin(), "/status").get("leaving").asBoolean());
        mLeftNanoseconds = System.nanoTime();
        assertThat(mFleet.target(plan).get("running").asInt()).as("running work").isPositive();
    }

    /** The node must still run when the count starts: a node that has ended refuses nothing. */
    @Then("the target of {word} gets no new work from {int} seconds later until its node ends")
    public void getsNoNewWork(String id, int seconds) {
        NodePlan plan = mFleet.plan(id);
        long start = mLeftNanoseconds + TimeUnit.SECONDS.toNanos(seconds);
        Poll.until("the notice has passed", seconds + 1L, () -> System.nanoTime() >= start);
        assertThat(mFleet.process(id).isAlive()).as(id + " still finishes its work").isTrue();
        long arrived = arrivals(plan);
        int answers = mFleet.callers().history().size();
        Poll.until(id + " has ended", LEAVING_SECONDS, () -> !mFleet.process(id).isAlive());
        Poll.until(
                "more lookups have ended",
                LEAVING_SECONDS,
                () -> mFleet.callers().history().size() >= answers + MORE_LOOKUPS);
        assertThat(arrivals(plan)).as("work that reached the target").isEqualTo(arrived);
    }

    @Then("every lookup got its whole and right answer")
    public void everyLookupGotItsAnswer() {
        mFleet.load().stop();
        List<CallRecord> wrong =
                mFleet.callers().history().stream()
                        .filter(record -> record.request().kind().equals(PATIENT_LOOKUP))
                        .filter(record -> record.verdict() != Verdict.RIGHT)
                        .toList();
        assertThat(wrong).isEmpty();
    }

    private void awaitWork(String id) {
        NodePlan plan = mFleet.plan(id);
        Poll.until(
                "work at the target of " + id,
                LEAVING_SECONDS,
                () -> mFleet.target(plan).get("running").asInt() >= 2);
    }

    private long arrivals(NodePlan plan) {
        JsonNode target = mFleet.target(plan);
        long arrivals = 0;
        for (String count : List.of("running", "queued", "done", "shed", "cancelled")) {
            arrivals += target.get(count).asLong();
        }
        return arrivals;
    }
}
