package org.foxtailmoor.scenarios.processes;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.foxtailmoor.standins.load.Verdict;

/** Steps about planned stops. */
public final class GracefulShutdownSteps {
    private final ProcessFleet mFleet;
    private int mRecordsBefore;

    public GracefulShutdownSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @When("the node {word} gets SIGTERM")
    public void getsSigterm(String id) {
        mRecordsBefore = mFleet.callers().history().size();
        mFleet.process(id).terminate();
    }

    @Then("the process of {word} ends within {int} seconds with exit code {int}")
    public void ends(String id, int seconds, int code) {
        assertThat(mFleet.process(id).awaitEnd(seconds)).as(id + " ended by itself").isTrue();
        assertThat(mFleet.process(id).awaitExitCode(1)).isEqualTo(code);
    }

    @Then("every request got its whole and right answer")
    public void everyRequestGotItsAnswer() {
        List<CallRecord> seen = mFleet.callers().history();
        List<CallRecord> afterSignal = seen.subList(mRecordsBefore, seen.size());
        assertThat(afterSignal).as("answers since the signal").hasSizeGreaterThan(50);
        assertThat(afterSignal.stream().filter(record -> record.verdict() != Verdict.RIGHT))
                .isEmpty();
        assertThat(mFleet.check().doubled()).isEmpty();
        assertThat(mFleet.check().lost()).isEmpty();
    }
}
