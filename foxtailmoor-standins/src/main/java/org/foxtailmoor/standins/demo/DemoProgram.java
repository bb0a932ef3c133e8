package org.foxtailmoor.standins.demo;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.standins.fleet.CatalogueSource;
import org.foxtailmoor.standins.fleet.Deployment;
import org.foxtailmoor.standins.fleet.Fleet;
import org.foxtailmoor.standins.http.ControlClient;
import org.kohsuke.args4j.Option;

/**
 * Starts both deployments, sends requests of every kind, changes the catalogues and stops. Exits
 * with 0 only if every answer was whole and right and every process ended in order.
 */
public final class DemoProgram extends Program {
    private static final int READY_SECONDS = 90;

    @Option(name = "--root", required = true, metaVar = "DIR", usage = "root of the project")
    private String mRoot;

    @Option(name = "--base-port", metaVar = "PORT", usage = "first of about 140 ports")
    private int mBasePort = 21_000;

    @Override
    protected String name() {
        return "foxtailmoor-standins demo";
    }

    @Override
    protected int run() {
        Path root = Path.of(mRoot).toAbsolutePath().normalize();
        List<String> faults = new ArrayList<>();
        List<Fleet> fleets = new ArrayList<>();
        try (ControlClient client = new ControlClient()) {
            int port = mBasePort;
            for (Deployment deployment : List.of(Deployment.KITAMINE, Deployment.ANDINA)) {
                Path directory = root.resolve("run/demo").resolve(deployment.name());
                Fleet fleet = new Fleet(root, directory, deployment, port, client);
                fleets.add(fleet);
                port += fleet.portCount();
            }
            Thread stopper = new Thread(() -> fleets.forEach(Fleet::stop));
            Runtime.getRuntime().addShutdownHook(stopper);
            show(root, fleets, client, faults);
            say("stopping");
            fleets.forEach(fleet -> faults.addAll(fleet.stop()));
            Runtime.getRuntime().removeShutdownHook(stopper);
        }
        faults.forEach(fault -> System.err.println("fault: " + fault));
        say(faults.isEmpty() ? "every answer was whole and right" : "failed");
        return faults.isEmpty() ? EXIT_CODE_SUCCESS : ErrorKind.INTERNAL.exitCode();
    }

    private static void show(
            Path root, List<Fleet> fleets, ControlClient client, List<String> faults) {
        try {
            for (Fleet fleet : fleets) {
                start(root, fleet);
            }
            for (Fleet fleet : fleets) {
                fleet.awaitReady(READY_SECONDS);
                say(fleet.deployment().name() + ": " + fleet.plans().size() + " nodes are ready");
            }
            for (Fleet fleet : fleets) {
                new DemoRequests(fleet, client).send(faults);
            }
            for (Fleet fleet : fleets) {
                Path directory = fleet.directory();
                String name = fleet.deployment().name();
                Path change = new CatalogueSource(root, name, directory).build(2);
                DemoChange.of(fleet, change, 2).print();
            }
        } catch (FoxtailmoorException e) {
            faults.add(e.getMessage());
        }
    }

    private static void start(Path root, Fleet fleet) {
        String name = fleet.deployment().name();
        say(name + ": starting, logs in " + fleet.directory());
        CatalogueSource catalogue = new CatalogueSource(root, name, fleet.directory());
        String behaviour =
                String.format(
                        Locale.ROOT,
                        "{\"slots\":%d,\"service_milliseconds\":3}",
                        fleet.deployment().slots());
        fleet.startStandins(behaviour);
        Path built = catalogue.build(1);
        fleet.publishParts(built);
        fleet.publishManifest(built);
        fleet.publishInstances();
        fleet.startNodes();
    }

    private static void say(String text) {
        System.out.println("demo: " + text);
    }
}
