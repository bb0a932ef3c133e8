package org.foxtailmoor.scenarios.processes;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.util.concurrent.TimeUnit;

/** Steps that start, load and end the processes of a scenario. */
public final class FleetSteps {
    private static final long FLOWING_SECONDS = 30;

    private final ProcessFleet mFleet;

    public FleetSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @After
    public void endProcesses() {
        mFleet.close();
    }

    @Given("a fleet with {int} lookup nodes and {int} order nodes")
    public void aFleet(int lookups, int orders) {
        mFleet.start(lookups, orders);
    }

    @Given("callers send lookups and keyed orders through every node")
    public void callersSend() {
        mFleet.startLoad(false);
        awaitMoreAnswers(60);
    }

    @Given("callers send keyed orders and repeat each unanswered one with its key elsewhere")
    public void callersSendAndRepeat() {
        mFleet.startLoad(true);
        awaitMoreAnswers(60);
    }

    @When("the load goes on for {int} seconds and ends")
    public void theLoadGoesOnAndEnds(int seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        Poll.until("the time of the load", seconds + 1L, () -> System.nanoTime() > end);
        mFleet.load().stop();
    }

    private void awaitMoreAnswers(int count) {
        int goal = mFleet.callers().history().size() + count;
        Poll.until(
                count + " more answers",
                FLOWING_SECONDS,
                () -> mFleet.callers().history().size() >= goal);
    }
}
