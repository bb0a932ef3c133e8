package org.foxtailmoor.standins.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.UnaryOperator;
import org.foxtailmoor.standins.fleet.CatalogueSource;
import org.foxtailmoor.standins.fleet.Deployment;
import org.foxtailmoor.standins.fleet.Fleet;
import org.foxtailmoor.standins.http.ControlClient;

/**
 * What all measures share.
 *
 * @param root root of the project
 * @param basePort first port that fleets may take
 * @param client client for control and admin ports
 * @param sizes numbers of nodes to measure at
 * @param repetitions repetitions of each measurement
 * @param seconds length of each measurement that lasts a time
 */
record MeasureContext(
        Path root,
        int basePort,
        ControlClient client,
        List<Integer> sizes,
        int repetitions,
        int seconds) {
    private static final int READY_SECONDS = 120;

    /** Time after which the exchange has settled and keys are taken. */
    private static final int SETTLE_SECONDS = 12;

    /** Target behaviour with a constant service time of 2 ms. */
    static final String QUICK_TARGETS =
            "{\"slots\":20,\"service_milliseconds\":2,\"distribution\":\"CONSTANT\"}";

    /** Starts a fleet with version 1 in force and waits until it has settled. */
    Fleet startFleet(int nodes, String behaviour) {
        return startFleet(nodes, behaviour, UnaryOperator.identity());
    }

    /** Starts a fleet like {@link #startFleet(int, String)}, with a change to its catalogue. */
    Fleet startFleet(int nodes, String behaviour, UnaryOperator<CatalogueSource> change) {
        Path directory = root.resolve("run/measure");
        Deployment deployment = Deployment.KITAMINE.withUpstreams(nodes);
        Fleet fleet = new Fleet(root, directory, deployment, basePort, client);
        Runtime.getRuntime().addShutdownHook(new Thread(fleet::close));
        try {
            fleet.startStandins(behaviour);
            Path built = change.apply(catalogue(fleet)).build(1);
            fleet.publishParts(built);
            fleet.publishManifest(built);
            fleet.publishInstances();
            fleet.startNodes();
            fleet.awaitReady(READY_SECONDS);
            sleepSeconds(SETTLE_SECONDS);
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /** Returns the builder of catalogue versions for a fleet. */
    CatalogueSource catalogue(Fleet fleet) {
        return new CatalogueSource(root, fleet.deployment().name(), fleet.directory());
    }

    /** Returns a result with the name of its measure and the number of nodes. */
    ObjectNode result(Measure measure, Fleet fleet) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("measure", measure.name())
                .put("nodes", fleet.plans().size());
    }

    /** Prints one result on a line. */
    void print(JsonNode result) {
        System.out.println(result);
        System.out.flush();
    }

    /** Waits. */
    void sleepSeconds(int time) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(time);
        while (System.nanoTime() < end) {
            LockSupport.parkNanos(end - System.nanoTime());
        }
    }

    /** Returns a number rounded to three decimals, for results. */
    static double round(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }
}
