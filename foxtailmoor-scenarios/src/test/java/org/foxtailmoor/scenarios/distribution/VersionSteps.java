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

/** Step definitions for the distribution of catalogue versions. */
public final class VersionSteps {
    private final InMemoryFleet mFleet = new InMemoryFleet();

    @Given("a fleet of {int} zones with {int} nodes each that has catalogue {long}")
    public void createFleet(int zones, int nodes, long number) {
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
        mFleet.publish(InMemoryFleet.catalogue(number));
        mFleet.mNodes
                .values()
                .forEach(
                        node ->
                                node.mEngine.onSourceRead(
                                        Topic.TOPIC_INSTANCES, InstanceCodec.encode(1, instances)));
        everyNodeHasCatalogueWithin(number, 10);
    }

    @Given("one changed part is missing from every update")
    public void dropOneChangedPart() {
        mFleet.mDropChangedPart = true;
    }

    @When("updates are complete again")
    public void stopDroppingParts() {
        mFleet.mDropChangedPart = false;
    }

    @When("the source publishes catalogue {long}")
    public void publish(long number) {
        mFleet.publish(InMemoryFleet.catalogue(number));
    }

    @When("all earlier messages are delivered again")
    public void redeliverMessages() {
        List.copyOf(mFleet.mDeliveredMessages).forEach(Runnable::run);
    }

    @When("{int} seconds pass")
    public void advanceTime(int seconds) {
        mFleet.run(seconds * 1_000);
    }

    @When("the nodes that read the source are killed")
    public void killReaders() {
        int before = mFleet.mNodes.size();
        mFleet.killReaders();
        assertThat(mFleet.mNodes.size()).isBetween(1, before - 1);
    }

    @Then("every node has catalogue {long} within {int} seconds")
    public void everyNodeHasCatalogueWithin(long number, int seconds) {
        mFleet.run(seconds * 1_000);
        assertThat(documents())
                .allMatch(
                        document ->
                                document.version()
                                        .equals(InMemoryFleet.catalogue(number).version()));
    }

    @Then("some node still has catalogue {long}")
    public void someNodeStillHas(long number) {
        assertThat(documents()).anyMatch(found -> found.version().getNumber() == number);
    }

    @Then("every node has the complete content of its catalogue")
    public void everyNodeHasTheCompleteContent() {
        assertThat(documents())
                .allMatch(
                        found -> {
                            long number = found.version().getNumber();
                            return found.contents()
                                    .equals(InMemoryFleet.catalogue(number).contents());
                        });
    }

    @Then("no node ever replaced a catalogue with an older one")
    public void noNodeRevertedToAnOlderCatalogue() {
        assertThat(mFleet.mNodes.values())
                .allSatisfy(n -> assertThat(n.mAppliedNumbers).isSorted());
    }

    private List<Document> documents() {
        return mFleet.mNodes.values().stream()
                .map(node -> node.mEngine.document(Topic.TOPIC_CATALOGUE))
                .toList();
    }
}
