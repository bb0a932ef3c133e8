package org.foxtailmoor.node;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.foxtailmoor.base.SettingsReader;

/**
 * Validated settings of one node.
 *
 * <pre>{@code
 * NodeSettings settings = NodeSettings.of(Path.of("node.toml"));
 * int port = settings.node().callerPort();
 * }</pre>
 *
 * @param node identity and ports of the node
 * @param target target next to which the node runs
 * @param platform address of the configuration service and the instance list
 * @param peers peers to contact at startup
 * @param distribution parameters of the document distribution
 * @param trace trace export
 * @param log logging
 */
public record NodeSettings(
        NodeSection node,
        TargetSection target,
        PlatformSection platform,
        PeersSection peers,
        DistributionSection distribution,
        TraceSection trace,
        LogSection log) {
    private static final int MAX_PORT = 65_535;
    private static final int MIN_FAN_OUT = 2;
    private static final int MAX_FAN_OUT = 64;
    private static final int DEFAULT_FAN_OUT = 4;
    private static final int MAX_READERS_PER_ZONE = 16;
    private static final int DEFAULT_READERS_PER_ZONE = 2;
    private static final int MIN_EXCHANGE_MILLISECONDS = 50;
    private static final int DEFAULT_EXCHANGE_MILLISECONDS = 1_000;
    private static final int DEFAULT_FETCH_DELAY_MILLISECONDS = 150;
    private static final int MAX_INTERVAL_MILLISECONDS = 60_000;
    private static final int MIN_BODY_MEMORY_BYTES = 65_536;
    private static final int DEFAULT_BODY_MEMORY_BYTES = 8_388_608;
    private static final int MAX_BODY_MEMORY_BYTES = 1_073_741_824;
    private static final int MIN_TARGET_BODY_BYTES = 65_536;

    /**
     * Default of {@link NodeSection#targetBodyBytes}. With up to eight slots, requests with bodies
     * of 2 MiB each never wait.
     */
    public static final int DEFAULT_TARGET_BODY_BYTES = 16_777_216;

    private static final double MAX_LINK_MEGABITS_PER_SECOND = 1_000_000;
    private static final double DEFAULT_SAMPLE_RATIO = 0.01;

    /**
     * Identity and ports of the node.
     *
     * @param id instance id, as in the instance list
     * @param service service that the target belongs to
     * @param region region of the instance
     * @param zone zone of the instance
     * @param address IP address that all ports are bound to
     * @param callerPort port for callers, 0 to select a free port
     * @param nodePort port for requests from other nodes, 0 to select a free port
     * @param controlPort port for control messages, 0 to select a free port
     * @param adminPort port for health, metrics and status, 0 to select a free port
     * @param bodyMemoryBytes maximum size of all buffered request and response bodies together
     * @param targetBodyBytes maximum size of the bodies over 8 KiB that run at the target at the
     *     same time; a larger body runs without others
     * @param linkMegabitsPerSecond rate of the machine's incoming link, 0 if it is unknown; long
     *     request bodies are received at most at this rate
     */
    public record NodeSection(
            String id,
            String service,
            String region,
            String zone,
            String address,
            int callerPort,
            int nodePort,
            int controlPort,
            int adminPort,
            int bodyMemoryBytes,
            int targetBodyBytes,
            double linkMegabitsPerSecond) {}

    /**
     * Address of the target.
     *
     * @param address IP address
     * @param port port, 1 to 65535
     */
    public record TargetSection(String address, int port) {
        /** Returns the address and port as a socket address. */
        public InetSocketAddress socketAddress() {
            return socketAddressOf(address, port);
        }
    }

    /**
     * Address of the platform.
     *
     * @param address IP address
     * @param port port, 1 to 65535
     */
    public record PlatformSection(String address, int port) {
        /** Returns the address and port as a socket address. */
        public InetSocketAddress socketAddress() {
            return socketAddressOf(address, port);
        }
    }

    /**
     * Peers to contact at startup, before an instance list is known.
     *
     * @param seeds control addresses of the peers, may be empty
     */
    public record PeersSection(List<InetSocketAddress> seeds) {
        /** Makes a defensive copy of the list. */
        public PeersSection {
            seeds = List.copyOf(seeds);
        }
    }

    /**
     * Parameters of the document distribution.
     *
     * @param fanOut number of children of a node in a distribution tree
     * @param readersPerZone number of nodes per zone that watch the platform, in the region of the
     *     source
     * @param exchangeMilliseconds interval between periodic exchanges with peers
     * @param fetchDelayMilliseconds time to wait for an update after learning of a newer version,
     *     before the version is fetched
     */
    public record DistributionSection(
            int fanOut, int readersPerZone, int exchangeMilliseconds, int fetchDelayMilliseconds) {}

    /** Ways to export trace spans. */
    public enum Exporter {
        /** Spans are not recorded; the trace context is forwarded. */
        NONE,
        /** Spans are written to standard output as OTLP JSON. */
        JSON,
        /** Spans are sent to an OTLP endpoint. */
        OTLP
    }

    /**
     * Trace export.
     *
     * @param exporter exporter for the spans
     * @param endpoint URL of the OTLP endpoint, empty unless the exporter is OTLP
     * @param sampleRatio fraction of the traces started by this node that are recorded, 0 to 1
     */
    public record TraceSection(Exporter exporter, String endpoint, double sampleRatio) {}

    /**
     * Logging.
     *
     * @param level lowest level that is logged: error, warn, info, debug or trace
     */
    public record LogSection(String level) {}

    /**
     * Reads the settings from a TOML file.
     *
     * @param path settings file, not null
     * @throws org.foxtailmoor.base.FoxtailmoorException of kind SETTINGS_INVALID that lists all
     *     invalid settings
     */
    public static NodeSettings of(Path path) {
        return of(SettingsReader.of(path));
    }

    /**
     * Reads the settings from a reader and calls {@link SettingsReader#finish()}.
     *
     * @param reader reader, not null
     * @throws org.foxtailmoor.base.FoxtailmoorException of kind SETTINGS_INVALID that lists all
     *     invalid settings
     */
    public static NodeSettings of(SettingsReader reader) {
        NodeSettings settings =
                new NodeSettings(
                        readNode(reader),
                        new TargetSection(
                                readAddress(reader, "target.address"),
                                readPort(reader, "target.port", 1)),
                        new PlatformSection(
                                readAddress(reader, "platform.address"),
                                readPort(reader, "platform.port", 1)),
                        readPeers(reader),
                        readDistribution(reader),
                        readTrace(reader),
                        readLog(reader));
        reader.finish();
        return settings;
    }

    private static NodeSection readNode(SettingsReader reader) {
        NodeSection section =
                new NodeSection(
                        reader.readText("node.id", null),
                        reader.readText("node.service", null),
                        reader.readText("node.region", null),
                        reader.readText("node.zone", null),
                        readAddress(reader, "node.address"),
                        readPort(reader, "node.caller_port", 0),
                        readPort(reader, "node.node_port", 0),
                        readPort(reader, "node.control_port", 0),
                        readPort(reader, "node.admin_port", 0),
                        reader.readInteger(
                                "node.body_memory_bytes",
                                MIN_BODY_MEMORY_BYTES,
                                MAX_BODY_MEMORY_BYTES,
                                DEFAULT_BODY_MEMORY_BYTES),
                        reader.readInteger(
                                "node.target_body_bytes",
                                MIN_TARGET_BODY_BYTES,
                                MAX_BODY_MEMORY_BYTES,
                                DEFAULT_TARGET_BODY_BYTES),
                        reader.readNumber(
                                "node.link_megabits_per_second",
                                0,
                                MAX_LINK_MEGABITS_PER_SECOND,
                                0.0));
        checkDistinctPorts(reader, section);
        return section;
    }

    private static void checkDistinctPorts(SettingsReader reader, NodeSection section) {
        TreeMap<Integer, List<String>> keysByPort = new TreeMap<>();
        addPort(keysByPort, section.callerPort(), "node.caller_port");
        addPort(keysByPort, section.nodePort(), "node.node_port");
        addPort(keysByPort, section.controlPort(), "node.control_port");
        addPort(keysByPort, section.adminPort(), "node.admin_port");
        keysByPort.remove(0);
        keysByPort.forEach(
                (port, keys) -> {
                    if (keys.size() > 1) {
                        reader.addFault(
                                String.join(", ", keys) + " = " + port + ": must be different");
                    }
                });
    }

    private static void addPort(TreeMap<Integer, List<String>> keysByPort, int port, String key) {
        keysByPort.computeIfAbsent(port, unused -> new ArrayList<>()).add(key);
    }

    private static PeersSection readPeers(SettingsReader reader) {
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (String seed : reader.readTexts("peers.seeds")) {
            InetSocketAddress address = parseSocketAddress(seed);
            if (address == null) {
                reader.addFault(
                        "peers.seeds contains \""
                                + seed
                                + "\": must be an IP address and a port from 1 to 65535, as in"
                                + " \"10.0.0.1:7002\"");
            } else {
                seeds.add(address);
            }
        }
        return new PeersSection(seeds);
    }

    private static DistributionSection readDistribution(SettingsReader reader) {
        return new DistributionSection(
                reader.readInteger(
                        "distribution.fan_out", MIN_FAN_OUT, MAX_FAN_OUT, DEFAULT_FAN_OUT),
                reader.readInteger(
                        "distribution.readers_per_zone",
                        1,
                        MAX_READERS_PER_ZONE,
                        DEFAULT_READERS_PER_ZONE),
                reader.readInteger(
                        "distribution.exchange_milliseconds",
                        MIN_EXCHANGE_MILLISECONDS,
                        MAX_INTERVAL_MILLISECONDS,
                        DEFAULT_EXCHANGE_MILLISECONDS),
                reader.readInteger(
                        "distribution.fetch_delay_milliseconds",
                        0,
                        MAX_INTERVAL_MILLISECONDS,
                        DEFAULT_FETCH_DELAY_MILLISECONDS));
    }

    private static TraceSection readTrace(SettingsReader reader) {
        String name = reader.readChoice("trace.exporter", List.of("none", "json", "otlp"), "none");
        Exporter exporter =
                switch (name) {
                    case "json" -> Exporter.JSON;
                    case "otlp" -> Exporter.OTLP;
                    default -> Exporter.NONE;
                };
        String endpoint = reader.readText("trace.endpoint", "");
        if (exporter == Exporter.OTLP && !endpoint.startsWith("http://")) {
            reader.addFault(
                    "trace.endpoint = \""
                            + endpoint
                            + "\": must be a URL that starts with http:// when trace.exporter is"
                            + " otlp");
        }
        return new TraceSection(
                exporter,
                endpoint,
                reader.readNumber("trace.sample_ratio", 0, 1, DEFAULT_SAMPLE_RATIO));
    }

    private static LogSection readLog(SettingsReader reader) {
        return new LogSection(
                reader.readChoice(
                        "log.level", List.of("error", "warn", "info", "debug", "trace"), "info"));
    }

    private static int readPort(SettingsReader reader, String key, int minimum) {
        return reader.readInteger(key, minimum, MAX_PORT, null);
    }

    private static String readAddress(SettingsReader reader, String key) {
        String address = reader.readText(key, null);
        if (!address.isEmpty() && !isIpAddress(address)) {
            reader.addFault(key + " = \"" + address + "\": must be an IP address");
        }
        return address;
    }

    private static boolean isIpAddress(String text) {
        return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
    }

    private static InetSocketAddress parseSocketAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !isIpAddress(text.substring(0, colon))) {
            return null;
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            return port < 1 || port > MAX_PORT
                    ? null
                    : socketAddressOf(text.substring(0, colon), port);
        } catch (NumberFormatException e) {
            return null;
        }
    }

    private static InetSocketAddress socketAddressOf(String address, int port) {
        try {
            byte[] bytes = NetUtil.createByteArrayFromIpAddressString(address);
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an IP address: " + address, e);
        }
    }
}
