package org.foxtailmoor.core.source;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.core.source.SimulatedFleet.Scenario;
import org.foxtailmoor.core.source.SimulatedFleet.Size;
import org.foxtailmoor.core.source.SimulatedNetwork.Endpoint;
import org.foxtailmoor.core.source.SimulatedNetwork.Payload;
import org.junit.jupiter.api.Test;

class SimulatedNetworkTest {
    private static final long RESPONSE_BYTES = 525_000;

    private final SimulatedNetwork mNetwork = new SimulatedNetwork();
    private final Endpoint mServer = mNetwork.new Endpoint("server", "a", 1_000);
    private final List<Double> mSeconds = new ArrayList<>();

    private void request(Endpoint from, Duration timeout) {
        mServer.mHandler =
                (request, responder) -> responder.accept(new Payload("body", RESPONSE_BYTES));
        mNetwork.request(
                from,
                mServer,
                new Payload("get", 1),
                timeout,
                response -> mSeconds.add(response == null ? -1 : now()));
    }

    private double now() {
        return mNetwork.ticker().nanoTime() / 1e9;
    }

    /** Guards against figures from a link that is faster or slower than its rate. */
    @Test
    void responseTakesTheTimeOfTheSlowestLink() {
        request(mNetwork.new Endpoint("slow", "a", 7), Duration.ofSeconds(5));
        mNetwork.run(Duration.ofSeconds(5));
        assertThat(mSeconds).hasSize(1);
        assertThat(mSeconds.get(0)).isCloseTo(0.6, within(0.01));
    }

    /** Guards against responses that take less together than the link between regions allows. */
    @Test
    void responsesShareTheLinkBetweenRegions() {
        for (int node = 0; node < 20; node++) {
            request(mNetwork.new Endpoint("node" + node, "b", 100), Duration.ofSeconds(5));
        }
        mNetwork.run(Duration.ofSeconds(5));
        assertThat(mSeconds).hasSize(20);
        assertThat(mSeconds).allSatisfy(time -> assertThat(time).isBetween(1.9, 2.3));
        assertThat(mNetwork.regionBytes()).isEqualTo(20 * (RESPONSE_BYTES + 1));
    }

    /** Guards against a given-up response that goes on using the link, or costs nothing. */
    @Test
    void givenUpResponseCostsOnlyWhatWasSent() {
        request(mNetwork.new Endpoint("slow", "b", 7), Duration.ofMillis(200));
        mNetwork.run(Duration.ofSeconds(5));
        assertThat(mSeconds).containsExactly(-1.0);
        assertThat(mNetwork.regionBytes())
                .isBetween((long) SimulatedNetwork.WINDOW_BYTES, RESPONSE_BYTES - 1);
    }

    /** Guards against requests that wait for ever at an address that is down. */
    @Test
    void endpointThatIsDownFailsTheRequest() {
        request(mNetwork.new Endpoint("node", "b", 7), Duration.ofSeconds(5));
        mNetwork.shutDown(mServer);
        mNetwork.run(Duration.ofSeconds(1));
        assertThat(mSeconds).containsExactly(-1.0);
    }

    /** Guards against seeds that cannot be played again. */
    @Test
    void sameSeedGivesTheSameFigures() {
        Size size = new Size(10, 2, 225_000);
        assertThat(SimulatedFleet.measure(7, size, DirectNode::new, Scenario.STORM))
                .isEqualTo(SimulatedFleet.measure(7, size, DirectNode::new, Scenario.STORM));
    }

    /** Guards against a dropped response that counts as progress and delays the failure. */
    @Test
    void responseDroppedByACutOffFailsAfterTheLimitOfTheFirstByte() {
        Endpoint client = mNetwork.new Endpoint("client", "a", 100);
        mServer.mHandler =
                (request, responder) ->
                        mNetwork.schedule(
                                Duration.ofMillis(600).toNanos(),
                                () -> responder.accept(new Payload("body", RESPONSE_BYTES)));
        mNetwork.request(
                client,
                mServer,
                new Payload("get", 250),
                new SimulatedNetwork.Timeouts(
                        Duration.ofMillis(1_800), Duration.ofMillis(1_200), Duration.ofSeconds(10)),
                response -> mSeconds.add(response == null ? now() : -1));
        mNetwork.run(Duration.ofMillis(100));
        mNetwork.cutOff(client, mServer);
        mNetwork.run(Duration.ofSeconds(10));
        assertThat(mSeconds).hasSize(1);
        assertThat(mSeconds.get(0)).isCloseTo(1.8, within(0.01));
    }
}
