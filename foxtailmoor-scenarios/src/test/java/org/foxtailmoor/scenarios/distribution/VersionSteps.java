package org.foxtailmoor.scenarios.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;

/** Steps about the distribution of catalogue versions. */
public final class VersionSteps {
    private final FleetInMemory mFleet = new FleetInMemory();

    @Given("a fleet of {int} zones with {int} nodes each that has catalogue {long}")
    public void aFleet(int zones, int nodes, long number) {
        List<Instance> instances = new ArrayList<>();
        for (int index = 0; index < zones * nodes; index++) {
            instances.add(
                    Instance.newBuilder()
                            .setId("n" + index)
                            .setServiceId("orders")
                            .setRegion("region")
                            .setZone("zone-" + index % zones)
                            .setControlPort(7402)
                            .build());
        }
        instances.forEach(mFleet::add);
        mFleet.publish(FleetInMemory.catalogue(number));
        mFleet.mNodes
                .values()
                .forEach(
                        node ->
                                node.mEngine.onSourceRead(
                                        Topic.TOPIC_INSTANCES, InstanceCodec.encode(1, instances)));
        everyNodeHasWithin(number, 10);
    }

    @Given("updates lose one changed part")
    public void updatesLoseOnePart() {
        mFleet.mLosingParts = true;
    }

    @When("updates arrive complete")
    public void updatesArriveComplete() {
        mFleet.mLosingParts = false;
    }

    @When("the source publishes catalogue {long}")
    public void publish(long number) {
        mFleet.publish(FleetInMemory.catalogue(number));
    }

    @When("all earlier messages arrive again")
    public void replay() {
        List.copyOf(mFleet.mDelivered).forEach(Runnable::run);
    }

    @When("{int} seconds pass")
    public void pass(int seconds) {
        mFleet.run(seconds * 1_000);
    }

    @When("the nodes that read the source die")
    public void readersDie() {
        int before = mFleet.mNodes.size();
        mFleet.killReaders();
        assertThat(mFleet.mNodes.size()).isBetween(1, before - 1);
    }

    @Then("every node has catalogue {long} within {int} seconds")
    public void everyNodeHasWithin(long number, int seconds) {
        mFleet.run(seconds * 1_000);
        assertThat(documents())
                .allMatch(
                        document ->
                                document.version()
                                        .equals(FleetInMemory.catalogue(number).version()));
    }

    @Then("some node still has catalogue {long}")
    public void someNodeHas(long number) {
        assertThat(documents()).anyMatch(found -> found.version().getNumber() == number);
    }

    @Then("every node has the whole content of its catalogue")
    public void everyNodeHasTheWhole() {
        assertThat(documents())
                .allMatch(
                        found -> {
                            long number = found.version().getNumber();
                            return found.contents()
                                    .equals(FleetInMemory.catalogue(number).contents());
                        });
    }

    @Then("no node ever had an older catalogue after a newer one")
    public void neverBack() {
        assertThat(mFleet.mNodes.values()).allSatisfy(n -> assertThat(n.mNumbers).isSorted());
    }

    private List<Document> documents() {
        return mFleet.mNodes.values().stream()
                .map(node -> node.mEngine.document(Topic.TOPIC_CATALOGUE))
                .toList();
    }
}
