package org.foxtailmoor.standins.target;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.http.HttpCaller;
import org.foxtailmoor.standins.http.HttpServer;

/**
 * Plays several targets and their control port on one event loop.
 *
 * <p>A target has the id {@code target-<port>}. Requests steer it with headers: {@code
 * Request-Identifier} is echoed; {@code Answer-Bytes} sets the size of the answer; {@code
 * Standin-Service-Milliseconds} sets the service time; {@code Standin-Fault} (or the query
 * parameter {@code standin-fault}) is {@code crash}, {@code silent}, {@code truncate} or {@code
 * error}; {@code Call-Next} and {@code Call-Depth} ask for a chain of calls; {@code
 * Foxtailmoor-Deadline-Milliseconds} is the time left.
 *
 * <p>The control port answers {@code GET /control/executions}, {@code POST
 * /control/executions/reset}, {@code GET /control/targets}, and for one target id or {@code all}:
 * {@code POST /control/targets/<id>/behaviour} (see {@link TargetBehaviour}), {@code .../silence}
 * and {@code .../crash}.
 */
public final class TargetServer implements AutoCloseable {
    private static final int MAXIMUM_NODE_CONNECTIONS = 512;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, Target> mTargets = new LinkedHashMap<>();
    private final HttpServer mControlServer;

    private TargetServer(
            String host,
            List<Integer> ports,
            int controlPort,
            TargetBehaviour behaviour,
            List<Integer> nodePorts) {
        EventLoop loop = mGroup.next();
        ExecutionLog log = new ExecutionLog();
        HttpCaller caller = HttpCaller.of(loop, MAXIMUM_NODE_CONNECTIONS);
        for (int i = 0; i < ports.size(); i++) {
            NextCaller next = null;
            if (i < nodePorts.size()) {
                next = new NextCaller(caller, new InetSocketAddress(host, nodePorts.get(i)));
            }
            Target target = new Target(loop, host, ports.get(i), behaviour, log, next);
            mTargets.put(target.id(), target);
        }
        mControlServer =
                HttpServer.start(loop, host, controlPort, new TargetControl(log, mTargets));
    }

    /**
     * Starts the targets.
     *
     * @param host address to listen on
     * @param ports a port for each target, 0 takes a free one
     * @param controlPort port for operators and tests, 0 takes a free one
     * @param behaviour behaviour of all targets at the start
     * @param nodePorts caller port of each target's node, in the order of the targets; may be
     *     shorter, and a target without one makes no calls
     * @throws org.foxtailmoor.base.FoxtailmoorException of kind ADDRESS_IN_USE
     */
    public static TargetServer start(
            String host,
            List<Integer> ports,
            int controlPort,
            TargetBehaviour behaviour,
            List<Integer> nodePorts) {
        return new TargetServer(host, ports, controlPort, behaviour, nodePorts);
    }

    /** Returns the ports of the targets in the order of their start. */
    public List<Integer> ports() {
        List<Integer> ports = new ArrayList<>();
        mTargets.values().forEach(target -> ports.add(target.port()));
        return ports;
    }

    /** Returns the control port. */
    public int controlPort() {
        return mControlServer.port();
    }

    /** Closes all ports and connections. */
    @Override
    public void close() {
        mTargets.values().forEach(Target::close);
        mControlServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
