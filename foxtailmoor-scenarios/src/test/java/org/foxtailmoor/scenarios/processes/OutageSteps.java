package org.foxtailmoor.scenarios.processes;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.concurrent.TimeUnit;

/** Steps about a platform that is down or returns stale or older values. */
public final class OutageSteps {
    private static final String NO_FAULT =
            "{\"values_outage\":false,\"instances_outage\":false,\"values_stale\":false,"
                    + "\"instances_stale\":false,\"values_older\":0,\"instances_older\":0}";
    private static final String OUTAGE = "{\"values_outage\":true,\"instances_outage\":true}";
    private static final String STALE = "{\"values_stale\":true,\"instances_stale\":true}";
    private static final String OLDER_VALUES = "{\"values_older\":1}";
    private static final long READY_TIMEOUT_SECONDS = 40;
    private static final long ANSWER_TIMEOUT_SECONDS = 20;
    private static final int MINIMUM_ANSWERS = 5;

    private final ProcessFleet mFleet;
    private VersionMonitor mMonitor;

    public OutageSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @After(order = 20_000)
    public void stopMonitor() {
        if (mMonitor != null) {
            mMonitor.close();
        }
    }

    @Given("version {int} is in force on all nodes, whose versions are monitored")
    public void versionIsInForce(int number) {
        mFleet.publishAndConverge(number);
        mMonitor = new VersionMonitor(mFleet);
        Poll.until(
                "version seen", ANSWER_TIMEOUT_SECONDS, () -> mMonitor.highestNumber() == number);
    }

    @When("the platform is down")
    public void platformIsDown() {
        mFleet.setPlatformFaults(OUTAGE);
    }

    @When("the platform answers again, with the values from before the last publication")
    public void platformReturnsOlderCatalogue() {
        mFleet.setPlatformFaults(NO_FAULT);
        mFleet.setPlatformFaults(OLDER_VALUES);
    }

    @When("the platform is stale when version {int} is published")
    public void platformIsStale(int number) {
        mFleet.setPlatformFaults(NO_FAULT);
        mFleet.setPlatformFaults(STALE);
        mFleet.publishCatalogue(number);
    }

    @When("the platform has no fault")
    public void platformHasNoFault() {
        mFleet.setPlatformFaults(NO_FAULT);
    }

    @Then("the node {word} becomes ready")
    public void becomesReady(String id) {
        Poll.until(id + " is ready", READY_TIMEOUT_SECONDS, () -> mMonitor.isReady(id));
    }

    @Then("the node {word} continues to answer")
    public void continuesToAnswer(String id) {
        int before = mMonitor.answers(id);
        Poll.until(
                id + " answers",
                ANSWER_TIMEOUT_SECONDS,
                () -> mMonitor.answers(id) >= before + MINIMUM_ANSWERS);
    }

    @Then("version {int} is published and in force on all nodes within {int} seconds")
    public void inForceWithin(int number, int seconds) {
        double longest = mFleet.publishAndConverge(number).maximum();
        assertThat(longest).isLessThan(TimeUnit.SECONDS.toMillis(seconds));
    }

    @Then("no version decreased, and no node became ready with a lower version than the others")
    public void noVersionDecreased() {
        assertThat(mMonitor.violations()).isEmpty();
    }
}
