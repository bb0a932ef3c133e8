package org.foxtailmoor.scenarios.processes;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.concurrent.TimeUnit;

/** Steps about a platform that is down, stale or older. */
public final class OutageSteps {
    private static final String NO_FAULT =
            "{\"values_outage\":false,\"instances_outage\":false,\"values_stale\":false,"
                    + "\"instances_stale\":false,\"values_older\":0,\"instances_older\":0}";
    private static final String DOWN = "{\"values_outage\":true,\"instances_outage\":true}";
    private static final String STALE = "{\"values_stale\":true,\"instances_stale\":true}";
    private static final String OLDER = "{\"values_older\":1}";
    private static final long READY_SECONDS = 40;
    private static final long ANSWER_SECONDS = 20;
    private static final int ANSWERS = 5;

    private final ProcessFleet mFleet;
    private VersionWatch mWatch;

    public OutageSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @After(order = 20_000)
    public void endWatch() {
        if (mWatch != null) {
            mWatch.close();
        }
    }

    @Given("version {int} is in force on all nodes, whose versions are watched")
    public void versionIsInForce(int number) {
        mFleet.publishAndConverge(number);
        mWatch = new VersionWatch(mFleet);
        Poll.until("version seen", ANSWER_SECONDS, () -> mWatch.highest() == number);
    }

    @When("the platform is down")
    public void platformIsDown() {
        mFleet.setPlatformFaults(DOWN);
    }

    @When("the platform answers again, with what it had before the last publication")
    public void platformIsOlder() {
        mFleet.setPlatformFaults(NO_FAULT);
        mFleet.setPlatformFaults(OLDER);
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
        Poll.until(id + " is ready", READY_SECONDS, () -> mWatch.isReady(id));
    }

    @Then("the node {word} goes on to answer")
    public void goesOnToAnswer(String id) {
        int before = mWatch.answers(id);
        Poll.until(id + " answers", ANSWER_SECONDS, () -> mWatch.answers(id) >= before + ANSWERS);
    }

    @Then("version {int} is published and in force on all nodes within {int} seconds")
    public void inForceWithin(int number, int seconds) {
        double longest = mFleet.publishAndConverge(number).maximum();
        assertThat(longest).isLessThan(TimeUnit.SECONDS.toMillis(seconds));
    }

    @Then("no version fell, and no node became ready with a lower version than the others held")
    public void noVersionFell() {
        assertThat(mWatch.faults()).isEmpty();
    }
}
