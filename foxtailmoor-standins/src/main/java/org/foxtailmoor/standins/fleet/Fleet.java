package org.foxtailmoor.standins.fleet;

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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.standins.http.ControlClient;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.http.JsonRecords;

/** One deployment as processes on loopback: a platform, a process with all targets, and nodes. */
public final class Fleet implements AutoCloseable {
    /** Ports before the first node's: the platform's two and the targets' control port. */
    private static final int SHARED_PORTS = 3;

    private static final int STOP_SECONDS = 40;
    private static final long POLL_MILLISECONDS = 20;

    private final Path mRoot;
    private final Path mDirectory;
    private final Deployment mDeployment;
    private final int mFirstPort;
    private final ControlClient mClient;
    private final List<NodePlan> mPlans = new ArrayList<>();
    private final Map<String, ManagedProcess> mProcesses = new LinkedHashMap<>();

    /**
     * Plans a fleet; nothing is started.
     *
     * @param root root directory of the project, with the packaged programs
     * @param directory directory for settings and logs; created if absent
     * @param deployment what to start
     * @param firstPort first of {@link #portCount()} ports
     * @param client client for control and admin ports
     */
    public Fleet(
            Path root, Path directory, Deployment deployment, int firstPort, ControlClient client) {
        mRoot = root;
        mDirectory = directory;
        mDeployment = deployment;
        mFirstPort = firstPort;
        mClient = client;
        int port = firstPort + SHARED_PORTS;
        int zone = 0;
        for (Deployment.Service service : deployment.services()) {
            for (int i = 0; i < service.upstreams(); i++) {
                String zoneName = deployment.zones().get(zone % deployment.zones().size());
                String region = deployment.regionOfZone().get(zoneName);
                String id = service.id() + "-" + (i + 1);
                mPlans.add(new NodePlan(id, service.id(), region, zoneName, port));
                port += NodePlan.PORTS;
                zone++;
            }
        }
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the number of ports from the first one. */
    public int portCount() {
        return SHARED_PORTS + mPlans.size() * NodePlan.PORTS;
    }

    /** Returns the deployment. */
    public Deployment deployment() {
        return mDeployment;
    }

    /** Returns the directory for settings and logs. */
    public Path directory() {
        return mDirectory;
    }

    /** Returns the nodes in the order of their start. */
    public List<NodePlan> plans() {
        return List.copyOf(mPlans);
    }

    /** Returns a process by name: platform, targets or the id of a node; null if not started. */
    public ManagedProcess process(String name) {
        return mProcesses.get(name);
    }

    /** Returns the address of the platform's control port. */
    public InetSocketAddress platformControl() {
        return new InetSocketAddress(NodePlan.ADDRESS, mFirstPort + 1);
    }

    /** Returns the address of the targets' control port. */
    public InetSocketAddress targetControl() {
        return new InetSocketAddress(NodePlan.ADDRESS, mFirstPort + 2);
    }

    /** Returns the addresses for callers, of one service or, with null, of all. */
    public List<InetSocketAddress> callers(String service) {
        return mPlans.stream()
                .filter(plan -> service == null || plan.service().equals(service))
                .map(NodePlan::caller)
                .toList();
    }

    /**
     * Starts the platform and the targets, and waits until their control ports answer.
     *
     * @param behaviour JSON object with the behaviour of the targets, see the target stand-in
     */
    public void startStandins(String behaviour) {
        String standins = mRoot.resolve("bin/foxtailmoor-standins").toString();
        start(
                "platform",
                standins,
                "platform",
                "--port",
                Integer.toString(mFirstPort),
                "--control-port",
                Integer.toString(mFirstPort + 1));
        start(
                "targets",
                standins,
                "target",
                "--control-port",
                Integer.toString(mFirstPort + 2),
                "--ports",
                joinPorts(mPlans.stream().map(NodePlan::target).toList()),
                "--node-ports",
                joinPorts(callers(null)),
                "--behaviour",
                behaviour);
        awaitAnswers(List.of(platformControl()), "/control/counters", 20);
        awaitAnswers(List.of(targetControl()), "/control/targets", 20);
    }

    /** Publishes the parts of a built catalogue, which must be there before the manifest. */
    public void publishParts(Path built) {
        try {
            for (Path part : CatalogueSource.parts(built)) {
                publishValue("catalogue/part/" + part.getFileName(), Files.readAllBytes(part));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Publishes the manifest of a built catalogue; the version counts as published from here. */
    public void publishManifest(Path built) {
        try {
            Path manifest = built.resolve("catalogue/manifest");
            publishValue("catalogue/manifest", Files.readAllBytes(manifest));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Publishes the instance list with every planned node live. */
    public void publishInstances() {
        ObjectNode list = JsonNodeFactory.instance.objectNode();
        ArrayNode instances = list.putArray("instances");
        mPlans.forEach(plan -> instances.add(plan.instance("live")));
        byte[] body = list.toString().getBytes(StandardCharsets.UTF_8);
        mClient.send(platformControl(), "PUT", "/control/instances", body);
    }

    /** Starts every node that does not run. */
    public void startNodes() {
        mPlans.forEach(this::startNode);
    }

    /** Starts a node without seed peers, unless it runs. */
    public void startNode(NodePlan plan) {
        startNode(plan, List.of());
    }

    /**
     * Starts a node, unless it runs.
     *
     * @param plan node to start
     * @param seeds nodes that it learns the instance list from if the platform is down
     */
    public void startNode(NodePlan plan, List<NodePlan> seeds) {
        ManagedProcess earlier = mProcesses.get(plan.id());
        if (earlier != null && earlier.isAlive()) {
            return;
        }
        Path settings = mDirectory.resolve(plan.id() + ".toml");
        try {
            Files.writeString(settings, plan.settings(mFirstPort, seeds));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        String node = mRoot.resolve("bin/foxtailmoor-node").toString();
        start(plan.id(), node, "--settings", settings.toString());
    }

    /** Waits until every node is ready; fails after a number of seconds. */
    public void awaitReady(int seconds) {
        awaitAnswers(mPlans.stream().map(NodePlan::admin).toList(), "/ready", seconds);
    }

    /**
     * Returns the status of each node by id, all asked at once.
     *
     * @throws FoxtailmoorException of kind PLATFORM_UNAVAILABLE if a node does not answer
     */
    public Map<String, JsonNode> statuses(List<NodePlan> plans) {
        Map<String, CompletableFuture<HttpAnswer>> asked = new LinkedHashMap<>();
        plans.forEach(plan -> asked.put(plan.id(), mClient.get(plan.admin(), "/status")));
        Map<String, JsonNode> statuses = new LinkedHashMap<>();
        asked.forEach(
                (id, answer) -> {
                    try {
                        statuses.put(id, JsonRecords.parse(answer.join().body()));
                    } catch (RuntimeException e) {
                        throw FoxtailmoorException.of(
                                ErrorKind.PLATFORM_UNAVAILABLE,
                                "no status from " + id + ", see " + mProcesses.get(id).log(),
                                e);
                    }
                });
        return statuses;
    }

    /**
     * Stops the nodes and then the stand-ins by SIGTERM.
     *
     * @return names of processes that had ended before or did not end in time
     */
    public List<String> stop() {
        List<String> faults = new ArrayList<>();
        List<ManagedProcess> nodes =
                mPlans.stream()
                        .map(plan -> mProcesses.get(plan.id()))
                        .filter(process -> process != null)
                        .collect(Collectors.toList());
        stopAll(nodes, faults);
        List<ManagedProcess> standins = new ArrayList<>(mProcesses.values());
        standins.removeAll(nodes);
        stopAll(standins, faults);
        mProcesses.clear();
        return faults;
    }

    /** Stops all nodes and keeps the stand-ins. */
    public List<String> stopNodes() {
        List<String> faults = new ArrayList<>();
        List<ManagedProcess> nodes = new ArrayList<>();
        mPlans.forEach(plan -> nodes.add(mProcesses.remove(plan.id())));
        stopAll(nodes, faults);
        return faults;
    }

    @Override
    public void close() {
        stop();
    }

    private static void stopAll(List<ManagedProcess> processes, List<String> faults) {
        for (ManagedProcess process : processes) {
            if (!process.isAlive()) {
                faults.add(process.name() + " had ended before, see " + process.log());
            }
            process.terminate();
        }
        for (ManagedProcess process : processes) {
            if (!process.awaitEnd(STOP_SECONDS)) {
                faults.add(process.name() + " did not end in time, see " + process.log());
            }
        }
    }

    private void start(String name, String... command) {
        mProcesses.put(name, ManagedProcess.start(name, mDirectory, List.of(command)));
    }

    private void publishValue(String key, byte[] content) {
        mClient.send(platformControl(), "PUT", "/control/values/" + key, content);
    }

    private void awaitAnswers(List<InetSocketAddress> addresses, String uri, int seconds) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
        for (InetSocketAddress address : addresses) {
            while (!answersWell(address, uri)) {
                requireProcesses();
                if (System.nanoTime() > end) {
                    throw FoxtailmoorException.of(
                            ErrorKind.PLATFORM_UNAVAILABLE,
                            "no " + uri + " from " + nameOf(address) + " within " + seconds + " s");
                }
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(POLL_MILLISECONDS));
            }
        }
    }

    private boolean answersWell(InetSocketAddress address, String uri) {
        return mClient.get(address, uri)
                .handle((answer, failure) -> failure == null && answer.status() == 200)
                .join();
    }

    private void requireProcesses() {
        for (ManagedProcess process : mProcesses.values()) {
            if (!process.isAlive()) {
                throw FoxtailmoorException.of(
                        ErrorKind.PLATFORM_UNAVAILABLE,
                        process.name() + " has ended, see " + process.log());
            }
        }
    }

    private String nameOf(InetSocketAddress address) {
        return mPlans.stream()
                .filter(plan -> plan.admin().equals(address))
                .map(plan -> plan.id() + " (see " + mProcesses.get(plan.id()).log() + ")")
                .findFirst()
                .orElse(address.toString());
    }

    private static String joinPorts(List<InetSocketAddress> addresses) {
        return addresses.stream()
                .map(address -> Integer.toString(address.getPort()))
                .collect(Collectors.joining(","));
    }
}
