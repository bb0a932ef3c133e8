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

/** Steps about keyed orders that callers repeat. */
public final class AtMostOnceSteps {
    private static final LoadKind ORDER =
            new LoadKind("order", 6, 30, "POST", "/order-desk/item", true, 512, 256, 4_000);

    /** Long enough that every home has orders in flight when it is killed. */
    private static final Map<String, String> SLOW = Map.of("Standin-Service-Milliseconds", "250");

    private static final int MINIMUM_REPEATED = 3;
    private static final int MINIMUM_AFTER_FAULTS = 10;

    private final ProcessFleet mFleet;

    public AtMostOnceSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @Given("callers send keyed orders and repeat each unanswered one with its key elsewhere")
    public void callersSendAndRepeat() {
        mFleet.newLoad(true).start(ORDER, SLOW);
    }

    @Then("each key ran at most once")
    public void eachKeyRanAtMostOnce() {
        assertThat(mFleet.check().doubled()).isEmpty();
    }

    @Then("no attempt that was answered as not run had run")
    public void notRunIsTrue() {
        assertThat(mFleet.check().falselyNotRun()).isEmpty();
    }

    @Then("every acknowledged order ran")
    public void acknowledgedOrdersRan() {
        assertThat(mFleet.check().lost()).isEmpty();
        assertThat(mFleet.check().falseSuccesses()).isEmpty();
    }

    /** Without unanswered attempts that were repeated the other checks would say little. */
    @Then("orders were repeated, and orders ran after the last fault")
    public void ordersWereRepeated() {
        List<CallRecord> seen = mFleet.callers().history();
        Set<UUID> unanswered =
                seen.stream()
                        .filter(record -> record.verdict() == Verdict.UNKNOWN)
                        .map(record -> record.request().key())
                        .collect(Collectors.toSet());
        assertThat(
                        seen.stream()
                                .filter(record -> record.verdict() != Verdict.UNKNOWN)
                                .filter(record -> unanswered.contains(record.request().key())))
                .as("repeats of unanswered orders with a definite answer")
                .hasSizeGreaterThanOrEqualTo(MINIMUM_REPEATED);
        assertThat(
                        mFleet.historySinceLastFault().stream()
                                .filter(record -> record.verdict() == Verdict.RIGHT))
                .as("right answers to orders after the last fault")
                .hasSizeGreaterThan(MINIMUM_AFTER_FAULTS);
    }
}
