package lab3;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A small deployment: a store, nodes with their upstreams, a record of what happens. */
public final class Lab implements AutoCloseable {
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    public static final String STORE_HOST = "127.0.10.1";

    public final Path mFolder;
    public final Store mStore;
    public final Node.Ports mPorts;
    public final List<Node> mNodes = new ArrayList<>();
    public final List<Upstream> mUpstreams = new ArrayList<>();
    private final PrintWriter mRecord;
    private final long mStarted = System.nanoTime();

    public Lab(Path caseFolder) throws IOException {
        mFolder = Files.createTempDirectory("review-3-");
        mStore = new Store(STORE_HOST);
        mPorts = Node.Ports.find("127.0.10.2");
        mRecord = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        record("TROUBLE=" + (TROUBLE ? 1 : 0));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Adds a machine with an upstream, which registers itself, and a node that is not started. */
    public Node addMachine(int number, String zone, Upstream upstream) throws IOException {
        String ip = ip(number);
        Node node =
                new Node(
                        mFolder,
                        "sidecar-" + number,
                        ip,
                        zone,
                        mPorts,
                        STORE_HOST,
                        mStore.port(),
                        upstream.mService,
                        upstream.port());
        mNodes.add(node);
        mUpstreams.add(upstream);
        register(node, upstream, "ready");
        return node;
    }

    public static String ip(int number) {
        return "127.0.10." + (10 + number);
    }

    public void register(Node node, Upstream upstream, String state) {
        mStore.put(
                "servers/" + upstream.mId,
                "{\"service\":\""
                        + upstream.mService
                        + "\",\"address\":\""
                        + node.mIp
                        + ":"
                        + upstream.port()
                        + "\",\"zone\":\""
                        + node.mZone
                        + "\",\"version\":\"v1\",\"slots\":15,\"state\":\""
                        + state
                        + "\",\"warmup_left_s\":0,\"sequence\":1,\"born\":"
                        + System.currentTimeMillis()
                        + "}");
    }

    /** Returns a configuration whose routes are given as JSON texts. */
    public static String configuration(int version, List<String> services, String... routes) {
        List<String> resources = new ArrayList<>(List.of(routes));
        for (String service : services) {
            resources.add(
                    "{\"resource_type\":\"services\",\"metadata\":{\"name\":\""
                            + service
                            + "\"},\"spec\":{\"health_path\":\"/healthz\",\"max_connections\":110,"
                            + "\"protocol\":\"h1\",\"tls\":false}}");
        }
        resources.add(
                "{\"resource_type\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,"
                        + "\"max_body_bytes\":67108864,\"header_timeout_s\":3,\"idle_timeout_s\":15}}");
        return "{\"version\":\"r" + version + "\",\"resources\":[" + String.join(",", resources) + "]}";
    }

    public static String route(
            String name, String host, String prefix, String kind, double timeout, String service) {
        return String.format(
                Locale.ROOT,
                "{\"resource_type\":\"routes\",\"metadata\":{\"name\":\"%s\"},\"spec\":{\"host\":\"%s\","
                        + "\"prefix\":\"%s\",\"kind\":\"%s\",\"timeout_s\":%.1f,\"target_latency_s\":0.4,"
                        + "\"priority\":1,\"service\":\"%s\",\"max_attempts\":2}}",
                name,
                host,
                prefix,
                kind,
                timeout,
                service);
    }

    /** Starts all nodes and waits until they are ready and know each other. */
    public void start() throws IOException, InterruptedException {
        for (Node node : mNodes) {
            node.start();
        }
        for (Node node : mNodes) {
            node.awaitReady();
        }
        Thread.sleep(1_500);
        record("all nodes are ready");
    }

    public synchronized void record(String line) {
        double seconds = (System.nanoTime() - mStarted) / (double) TimeUnit.SECONDS.toNanos(1);
        String text = String.format(Locale.ROOT, "%8.3f %s", seconds, line);
        mRecord.println(text);
        System.out.println(text);
    }

    @Override
    public void close() {
        for (Node node : mNodes) {
            node.kill();
        }
    }

    /** Body of a case; returns whether the rule held. */
    @FunctionalInterface
    public interface Case {
        boolean run(Lab lab) throws Exception;
    }

    /** Runs a case and ends the process with its exit code. */
    public static void run(String folder, Case test) {
        int code = 2;
        try (Lab lab = new Lab(Path.of(folder))) {
            try {
                boolean held = test.run(lab);
                lab.record(held ? "HELD" : "BROKEN");
                code = held ? 0 : 1;
            } catch (Exception | Error e) {
                lab.record("cannot run: " + e);
                e.printStackTrace();
            }
        } catch (IOException | UncheckedIOException e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
