package org.foxtailmoor.scenarios.processes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.foxtailmoor.standins.fleet.CatalogueSource;
import org.foxtailmoor.standins.fleet.Convergence;
import org.foxtailmoor.standins.fleet.Deployment;
import org.foxtailmoor.standins.fleet.Fleet;
import org.foxtailmoor.standins.fleet.ManagedProcess;
import org.foxtailmoor.standins.fleet.NodePlan;
import org.foxtailmoor.standins.http.ControlClient;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.LoadRequest;
import org.foxtailmoor.standins.load.Verdict;

/** The processes, callers and load of one scenario, which are stopped after it. */
public final class ProcessFleet {
    static final LoadKind LOOKUP = LoadKind.of("lookup", 30, "/rack-catalogue/item");
    static final LoadKind ORDER = LoadKind.of("order", 15, "/order-desk/item");

    private static final int READY_TIMEOUT_SECONDS = 60;
    private static final long KEYS_TIMEOUT_SECONDS = 40;
    private static final long EXIT_TIMEOUT_SECONDS = 10;

    private final ControlClient mClient = new ControlClient();
    private final Callers mCallers = new Callers();
    private final Thread mShutdownHook = new Thread(this::killAll);
    private Fleet mFleet;
    private CatalogueSource mCatalogue;
    private SteadyLoad mLoad;
    private long mLastFaultNanoseconds;

    /** Starts stand-ins and nodes in two zones of one region and waits until they are ready. */
    void start(int lookupNodes, int orderNodes) {
        Path projectRoot = projectRoot();
        Deployment deployment =
                new Deployment(
                        "kitamine",
                        List.of(
                                new Deployment.Service("rack-catalogue", lookupNodes, "lookup"),
                                new Deployment.Service("order-desk", orderNodes, "order")),
                        List.of("sapporo-a", "otaru-a"),
                        Map.of("sapporo-a", "doo", "otaru-a", "doo"),
                        20);
        int ports = 3 + (lookupNodes + orderNodes) * NodePlan.PORTS;
        Path directory = createDirectory(projectRoot);
        mFleet = new Fleet(projectRoot, directory, deployment, FreePorts.findBlock(ports), mClient);
        Runtime.getRuntime().addShutdownHook(mShutdownHook);
        mCatalogue = new CatalogueSource(projectRoot, "kitamine", directory);
        mFleet.startStandins("{\"slots\":20,\"service_milliseconds\":20}");
        publishCatalogue(1);
        mFleet.publishInstances();
        mFleet.startNodes();
        mFleet.awaitReady(READY_TIMEOUT_SECONDS);
    }

    Fleet fleet() {
        return mFleet;
    }

    ControlClient client() {
        return mClient;
    }

    Callers callers() {
        return mCallers;
    }

    List<NodePlan> plans() {
        return mFleet.plans();
    }

    NodePlan plan(String id) {
        return plans().stream().filter(plan -> plan.id().equals(id)).findFirst().orElseThrow();
    }

    ManagedProcess process(String id) {
        return mFleet.process(id);
    }

    /** Creates the load of this scenario, which sends through every node. */
    SteadyLoad newLoad(boolean retrying) {
        mLoad = new SteadyLoad(mCallers, mFleet.callers(null), retrying);
        return mLoad;
    }

    void setLastFault(long nanoseconds) {
        mLastFaultNanoseconds = nanoseconds;
    }

    /** Returns the attempts that were sent after the last kill of a node. */
    List<CallRecord> historySinceLastFault() {
        return mCallers.history().stream()
                .filter(record -> record.sentNanoseconds() - mLastFaultNanoseconds > 0)
                .toList();
    }

    SteadyLoad load() {
        return mLoad;
    }

    void publishCatalogue(int number) {
        Path built = mCatalogue.build(number);
        mFleet.publishParts(built);
        mFleet.publishManifest(built);
    }

    /** Publishes a version and waits until every node has it in force. */
    Convergence publishAndConverge(int number) {
        return Convergence.publish(mFleet, mCatalogue.build(number), number, plans());
    }

    /** Publishes the instance list with one instance leaving. */
    void publishLeaving(String id) {
        ObjectNode list = JsonNodeFactory.instance.objectNode();
        ArrayNode instances = list.putArray("instances");
        for (NodePlan plan : plans()) {
            instances.add(plan.instance(plan.id().equals(id) ? "leaving" : "live"));
        }
        byte[] body = list.toString().getBytes(StandardCharsets.UTF_8);
        mClient.send(mFleet.platformControl(), "PUT", "/control/instances", body);
    }

    void setPlatformFaults(String json) {
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        mClient.send(mFleet.platformControl(), "POST", "/control/faults", body);
    }

    /** Returns the state of a node's target, as the target stand-in reports it. */
    JsonNode target(NodePlan plan) {
        for (JsonNode target : mClient.getJson(mFleet.targetControl(), "/control/targets")) {
            if (target.get("port").asInt() == plan.target().getPort()) {
                return target;
            }
        }
        throw new IllegalStateException("no target of node " + plan.id());
    }

    void setTargetBehaviour(NodePlan plan, String json) {
        String uri = "/control/targets/target-" + plan.target().getPort() + "/behaviour";
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        mClient.send(mFleet.targetControl(), "POST", uri, body);
    }

    HistoryChecker checkHistory() {
        JsonNode executions = mClient.getJson(mFleet.targetControl(), "/control/executions");
        return new HistoryChecker(mCallers.history(), executions);
    }

    /** Sends a signal to a process of this fleet. */
    void signal(String id, String signal) {
        try {
            String pid = Long.toString(process(id).pid());
            int code = new ProcessBuilder("kill", "-" + signal, pid).start().waitFor();
            if (code != 0) {
                throw new IllegalStateException("kill -" + signal + " failed for " + id);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Kills every process of this fleet, including those paused by a signal. */
    void close() {
        if (mLoad != null) {
            mLoad.close();
        }
        killAll();
        mCallers.close();
        mClient.close();
        if (mFleet != null) {
            Runtime.getRuntime().removeShutdownHook(mShutdownHook);
        }
    }

    private void killAll() {
        if (mFleet == null) {
            return;
        }
        List<ManagedProcess> all =
                Stream.concat(
                                plans().stream().map(plan -> process(plan.id())),
                                Stream.of(process("platform"), process("targets")))
                        .filter(process -> process != null)
                        .toList();
        all.forEach(ManagedProcess::kill);
        all.forEach(process -> process.awaitEnd(EXIT_TIMEOUT_SECONDS));
    }

    /** Waits until homes accept keys; before, during the guard time, the outcome is unknown. */
    void awaitKeysAccepted() {
        for (InetSocketAddress caller : mFleet.callers(null)) {
            for (int answered = 0; answered < mFleet.callers("order-desk").size(); answered++) {
                Poll.until(
                        "orders succeed through port " + caller.getPort(),
                        KEYS_TIMEOUT_SECONDS,
                        () -> orderSucceeds(caller));
            }
        }
    }

    private boolean orderSucceeds(InetSocketAddress caller) {
        return mCallers.send(LoadRequest.create(ORDER), caller, Map.of()).join().verdict()
                == Verdict.RIGHT;
    }

    private static Path projectRoot() {
        Path directory = Path.of("").toAbsolutePath();
        return Files.exists(directory.resolve("bin")) ? directory : directory.getParent();
    }

    private static Path createDirectory(Path projectRoot) {
        try {
            Path parent = projectRoot.resolve("foxtailmoor-scenarios/target/processes");
            Files.createDirectories(parent);
            return Files.createTempDirectory(parent, "run-");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
