package org.foxtailmoor.scenarios.processes;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.stream.Collectors;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.Verdict;

/** Steps about retried orders with an idempotency key. */
public final class AtMostOnceSteps {
    private static final LoadKind ORDER =
            new LoadKind("order", 6, 30, "POST", "/order-desk/item", true, 512, 256, 4_000);

    /** A service time that keeps orders in flight at every home, so that a kill interrupts some. */
    private static final Map<String, String> SLOW_SERVICE =
            Map.of("Standin-Service-Milliseconds", "250");

    private static final int MINIMUM_RETRIED_ANSWERS = 3;
    private static final int MINIMUM_ANSWERS_AFTER_FAULTS = 10;

    private final ProcessFleet mFleet;

    public AtMostOnceSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @Given("callers send orders with idempotency keys and retry failed ones through the next node")
    public void callersSendAndRetry() {
        mFleet.newLoad(true).start(ORDER, SLOW_SERVICE);
    }

    @Then("each key was executed at most once")
    public void eachKeyRanAtMostOnce() {
        assertThat(mFleet.checkHistory().duplicateExecutions()).isEmpty();
    }

    @Then("no attempt that was answered as not run was executed")
    public void notRunIsAccurate() {
        assertThat(mFleet.checkHistory().executedDespiteNotRun()).isEmpty();
    }

    @Then("every acknowledged order was executed")
    public void acknowledgedOrdersRan() {
        assertThat(mFleet.checkHistory().acknowledgedButNotExecuted()).isEmpty();
        assertThat(mFleet.checkHistory().falseSuccesses()).isEmpty();
    }

    /** Ensures that the faults interrupted orders; otherwise the other checks pass trivially. */
    @Then("unanswered orders were retried, and orders succeeded after the last fault")
    public void ordersWereRetried() {
        List<CallRecord> history = mFleet.callers().history();
        Set<UUID> unanswered =
                history.stream()
                        .filter(record -> record.verdict() == Verdict.UNKNOWN)
                        .map(record -> record.request().key())
                        .collect(Collectors.toSet());
        assertThat(
                        history.stream()
                                .filter(record -> record.verdict() != Verdict.UNKNOWN)
                                .filter(record -> unanswered.contains(record.request().key())))
                .as("retries of unanswered orders with a definite answer")
                .hasSizeGreaterThanOrEqualTo(MINIMUM_RETRIED_ANSWERS);
        assertThat(
                        mFleet.historySinceLastFault().stream()
                                .filter(record -> record.verdict() == Verdict.RIGHT))
                .as("correct answers to orders after the last fault")
                .hasSizeGreaterThan(MINIMUM_ANSWERS_AFTER_FAULTS);
    }
}
