package org.foxtailmoor.scenarios.processes;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.Verdict;

/** Steps about answers that are cut on their way. */
public final class WholeAnswersSteps {
    /** Answers of many chunks, so that a killed node leaves some of them half sent. */
    private static final LoadKind LARGE =
            new LoadKind("lookup", 1, 25, "GET", "/rack-catalogue/large", false, 0, 700_000, 2_000);

    /** Another path than that of the others, because a cut counts as a crash of its request. */
    private static final LoadKind CUT =
            new LoadKind("cut", 1, 5, "GET", "/rack-catalogue/cut", false, 0, 200_000, 2_000);

    private static final int MINIMUM_CUT = 3;
    private static final int MINIMUM_LOST = 1;

    private final ProcessFleet mFleet;

    public WholeAnswersSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @Given("callers fetch large answers, and targets cut some answers half way")
    public void callersFetch() {
        SteadyLoad load = mFleet.newLoad(false);
        load.start(LARGE, Map.of());
        load.start(CUT, Map.of("Standin-Fault", "truncate"));
    }

    @Then("no caller took a short or foreign answer for its own")
    public void noFalseSuccess() {
        assertThat(mFleet.check().falseSuccesses()).isEmpty();
    }

    @Then("answers were cut by targets and by nodes, and large ones arrived whole")
    public void answersWereCut() {
        List<CallRecord> seen = mFleet.callers().history();
        assertThat(seen.stream().filter(record -> record.error().equals("UPSTREAM_FAILED")))
                .as("answers cut by targets")
                .hasSizeGreaterThanOrEqualTo(MINIMUM_CUT);
        assertThat(seen.stream().filter(record -> record.failure() != null))
                .as("answers cut by nodes")
                .hasSizeGreaterThanOrEqualTo(MINIMUM_LOST);
        assertThat(
                        seen.stream()
                                .filter(record -> record.request().kind().equals(LARGE))
                                .filter(record -> record.verdict() == Verdict.RIGHT))
                .as("whole large answers")
                .hasSizeGreaterThan(seen.size() / 4);
    }
}
