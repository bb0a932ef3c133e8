package org.foxtailmoor.scenarios.processes;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.Verdict;

/** Steps about truncated answers. */
public final class CompleteAnswersSteps {
    /** Answers of many chunks, so that killing a node truncates some of them. */
    private static final LoadKind LARGE =
            new LoadKind("lookup", 1, 25, "GET", "/rack-catalogue/large", false, 0, 700_000, 2_000);

    /** Uses its own path, because a truncated answer counts as a crash of its request. */
    private static final LoadKind TRUNCATED =
            new LoadKind("cut", 1, 5, "GET", "/rack-catalogue/cut", false, 0, 200_000, 2_000);

    private static final int MINIMUM_TRUNCATED_BY_TARGETS = 3;
    private static final int MINIMUM_TRUNCATED_BY_NODES = 1;

    private final ProcessFleet mFleet;

    public CompleteAnswersSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @Given("callers fetch large answers, and targets truncate some answers")
    public void callersFetch() {
        SteadyLoad load = mFleet.newLoad(false);
        load.start(LARGE, Map.of());
        load.start(TRUNCATED, Map.of("Standin-Fault", "truncate"));
    }

    @Then("no caller accepted a truncated answer or the answer to another request")
    public void noFalseSuccess() {
        assertThat(mFleet.checkHistory().falseSuccesses()).isEmpty();
    }

    @Then("targets and nodes truncated answers, and large answers arrived complete")
    public void answersWereTruncated() {
        List<CallRecord> history = mFleet.callers().history();
        assertThat(history.stream().filter(record -> record.error().equals("UPSTREAM_FAILED")))
                .as("answers truncated by targets")
                .hasSizeGreaterThanOrEqualTo(MINIMUM_TRUNCATED_BY_TARGETS);
        assertThat(history.stream().filter(record -> record.failure() != null))
                .as("answers truncated by nodes")
                .hasSizeGreaterThanOrEqualTo(MINIMUM_TRUNCATED_BY_NODES);
        assertThat(
                        history.stream()
                                .filter(record -> record.request().kind().equals(LARGE))
                                .filter(record -> record.verdict() == Verdict.RIGHT))
                .as("complete large answers")
                .hasSizeGreaterThan(history.size() / 4);
    }
}
