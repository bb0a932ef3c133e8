package org.foxtailmoor.scenarios.processes;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.List;
import org.foxtailmoor.standins.load.Verdict;

/** Steps about graceful shutdown. */
public final class GracefulShutdownSteps {
    private final ProcessFleet mFleet;
    private int mRecordsBeforeSignal;

    public GracefulShutdownSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @When("the node {word} gets SIGTERM")
    public void getsSigterm(String id) {
        mRecordsBeforeSignal = mFleet.callers().history().size();
        mFleet.process(id).terminate();
    }

    @Then("the process of {word} exits within {int} seconds with exit code {int}")
    public void exits(String id, int seconds, int code) {
        assertThat(mFleet.process(id).awaitEnd(seconds)).as(id + " exited without a kill").isTrue();
        assertThat(mFleet.process(id).awaitExitCode(1)).isEqualTo(code);
    }

    @Then("every request got its complete and correct answer")
    public void everyRequestGotItsAnswer() {
        List<CallRecord> history = mFleet.callers().history();
        List<CallRecord> afterSignal = history.subList(mRecordsBeforeSignal, history.size());
        assertThat(afterSignal).as("answers since the signal").hasSizeGreaterThan(50);
        assertThat(afterSignal.stream().filter(record -> record.verdict() != Verdict.RIGHT))
                .isEmpty();
        assertThat(mFleet.checkHistory().duplicateExecutions()).isEmpty();
        assertThat(mFleet.checkHistory().acknowledgedButNotExecuted()).isEmpty();
    }
}
