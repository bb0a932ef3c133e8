package org.foxtailmoor.scenarios.processes;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.When;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.fleet.NodePlan;

/** Steps that start, load and stop the processes of a scenario. */
public final class FleetSteps {
    private static final long ANSWERS_TIMEOUT_SECONDS = 30;
    private static final long EXIT_TIMEOUT_SECONDS = 10;

    private final ProcessFleet mFleet;

    public FleetSteps(ProcessFleet fleet) {
        mFleet = fleet;
    }

    @After
    public void stopProcesses() {
        mFleet.close();
    }

    @Given("a fleet with {int} lookup nodes and {int} order nodes")
    public void startFleet(int lookups, int orders) {
        mFleet.start(lookups, orders);
    }

    @Given("the order nodes accept idempotency keys")
    public void orderNodesAcceptKeys() {
        mFleet.awaitKeysAccepted();
    }

    @Given("callers send lookups and orders with idempotency keys through every node")
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
        Poll.until(id + " has exited", EXIT_TIMEOUT_SECONDS, () -> !mFleet.process(id).isAlive());
    }

    @When("the node {word} is started again")
    public void isStartedAgain(String id) {
        // A node that starts during a platform outage finds the other nodes only through its seeds.
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

    @When("the node {word} is resumed")
    public void isResumed(String id) {
        mFleet.signal(id, "CONT");
    }

    @When("the load continues for {int} seconds")
    public void theLoadContinues(int seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        Poll.until(
                "the load has continued for " + seconds + " s",
                seconds + 1L,
                () -> System.nanoTime() > end);
    }

    @When("the load continues for {int} seconds and stops")
    public void theLoadContinuesAndStops(int seconds) {
        theLoadContinues(seconds);
        mFleet.load().stop();
    }

    private void awaitMoreAnswers(int count) {
        int expected = mFleet.callers().history().size() + count;
        Poll.until(
                count + " more answers",
                ANSWERS_TIMEOUT_SECONDS,
                () -> mFleet.callers().history().size() >= expected);
    }
}
