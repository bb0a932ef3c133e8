package org.foxtailmoor.scenarios.requests;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.routing.BudgetedRetryPolicy;
import org.foxtailmoor.core.routing.Decision;
import org.foxtailmoor.core.routing.EntryDecisions;
import org.foxtailmoor.core.routing.EntryRequest;
import org.foxtailmoor.core.routing.EpochClock;
import org.foxtailmoor.core.routing.PowerOfTwoChoicesBalancer;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.core.routing.SnapshotReference;
import org.foxtailmoor.core.routing.UpstreamTable;

/** Steps for routes and for the routing snapshots that requests hold. */
public final class RouteSteps {
    private final Ticker mTicker = Ticker.newMockTicker();
    private final UpstreamTable mTable = UpstreamTable.of(mTicker);
    private final EntryDecisions mDecisions =
            EntryDecisions.of(
                    EpochClock.of(mTicker, 0),
                    mTable,
                    PowerOfTwoChoicesBalancer.of(mTable, new Random(1), "doo", "sapporo-a"),
                    BudgetedRetryPolicy.of(mTicker, new Random(1)));
    private final List<RoutingSnapshot> mReleased = new ArrayList<>();
    private final TestCatalogue mCatalogue = new TestCatalogue();
    private SnapshotReference<RoutingSnapshot> mReference;
    private SnapshotReference.Use<RoutingSnapshot> mUse;
    private EntryRequest mRequest;

    @Given("a node with catalogue version {long} and service {string}")
    public void node(long version, String service) {
        mCatalogue.service(service, 1);
        mReference = SnapshotReference.of(mCatalogue.build(version), mReleased::add);
    }

    @Given("a route {string} to {string}")
    public void route(String prefix, String service) {
        mCatalogue.route(prefix, service);
        long version = mReference.acquire().value().catalogueVersion().getNumber();
        mReference = SnapshotReference.of(mCatalogue.build(version), mReleased::add);
    }

    @When("a request begins")
    public void requestBegins() {
        mUse = mReference.acquire();
        mRequest = begin(mUse.value(), "/x").value();
    }

    @When("catalogue version {long} without services is applied")
    public void newerVersionIsApplied(long version) {
        assertThat(mReference.publish(new TestCatalogue().build(version))).isTrue();
    }

    @Then("catalogue version {long} without services is not applied")
    public void olderVersionIsNotApplied(long version) {
        assertThat(mReference.publish(new TestCatalogue().build(version))).isFalse();
    }

    @Then("the request still reaches {string}")
    public void requestReaches(String service) {
        assertThat(mDecisions.choose(mRequest).value().serviceId()).isEqualTo(service);
    }

    @Then("version {long} is released when the request ends")
    public void versionIsReleased(long version) {
        assertThat(mReleased).isEmpty();
        mUse.release();
        assertThat(mReleased).hasSize(1);
        assertThat(mReleased.get(0).catalogueVersion().getNumber()).isEqualTo(version);
    }

    @Then("a request for {string} goes to {string}")
    public void requestGoesTo(String path, String service) {
        EntryRequest request = begin(mReference.acquire().value(), path).value();
        assertThat(mDecisions.choose(request).value().serviceId()).isEqualTo(service);
    }

    @Then("a request for {string} is refused as {string}")
    public void requestIsRefused(String path, String kind) {
        assertThat(begin(mReference.acquire().value(), path).refusal())
                .isEqualTo(ErrorKind.of(kind));
    }

    private Decision<EntryRequest> begin(RoutingSnapshot snapshot, String path) {
        return mDecisions.begin(snapshot, "", "POST", path, null, 0, 0);
    }
}
