package org.foxtailmoor.scenarios.processes;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.fleet.NodePlan;

/** Steps that start, load and end the processes of a scenario. */
public final class FleetSteps {
    private static final long FLOWING_SECONDS = 30;
    private static final long END_SECONDS = 10;

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

    @Given("the order nodes take keys")
    public void orderNodesTakeKeys() {
        mFleet.awaitKeys();
    }

    @Given("callers send lookups and keyed orders through every node")
    public void callersSend() {
        SteadyLoad load = mFleet.newLoad(false);
        load.start(ProcessFleet.LOOKUP, Map.of());
        load.start(ProcessFleet.ORDER, Map.of());
        awaitMoreAnswers(60);
    }

    @When("{int} more requests have ended")
    public void moreRequestsHaveEnded(int count) {
        awaitMoreAnswers(count);
    }

    @When("the node {word} is killed")
    public void isKilled(String id) {
        mFleet.process(id).kill();
        mFleet.setLastFault(System.nanoTime());
        Poll.until(id + " has ended", END_SECONDS, () -> !mFleet.process(id).isAlive());
    }

    @When("the node {word} is started again")
    public void isStartedAgain(String id) {
        // Without seeds a node that starts while the platform is down knows no other node.
        List<NodePlan> seeds =
                mFleet.plans().stream()
                        .filter(plan -> !plan.id().equals(id))
                        .filter(plan -> mFleet.process(plan.id()).isAlive())
                        .toList();
        mFleet.fleet().startNode(mFleet.plan(id), seeds);
    }

    @When("the node {word} is paused")
    public void isPaused(String id) {
        mFleet.signal(id, "STOP");
    }

    @When("the node {word} is continued")
    public void isContinued(String id) {
        mFleet.signal(id, "CONT");
    }

    @When("the load goes on for {int} seconds")
    public void theLoadGoesOn(int seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        Poll.until("the time of the load", seconds + 1L, () -> System.nanoTime() > end);
    }

    @When("the load goes on for {int} seconds and ends")
    public void theLoadGoesOnAndEnds(int seconds) {
        theLoadGoesOn(seconds);
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
