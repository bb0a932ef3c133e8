package org.foxtailmoor.standins.platform;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.http.HttpServer;

/**
 * Plays the platform for readers and operators. Both ports share one event loop, so that the state
 * needs no locks.
 *
 * <p>The read port answers {@code GET /v1/values/<key>} and {@code GET /v1/instances}, both with
 * {@code ?after=<revision>&wait_milliseconds=<n>} as a watch. Values have one revision sequence and
 * the instance list another.
 *
 * <p>The control port answers {@code PUT /control/values/<key>}, {@code PUT /control/instances},
 * {@code GET} and {@code POST /control/faults} (see {@link PlatformFaults}), {@code GET
 * /control/counters} and {@code POST /control/counters/reset}.
 */
public final class PlatformServer implements AutoCloseable {
    /** Calls per second that the platform serves over all readers. */
    public static final int DEFAULT_CALLS_PER_SECOND = 2_000;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer mReadServer;
    private final HttpServer mControlServer;

    private PlatformServer(String host, int port, int controlPort, double callsPerSecond) {
        EventLoop loop = mGroup.next();
        PlatformState state = new PlatformState(loop);
        CallBudget budget = new CallBudget(loop.ticker(), callsPerSecond);
        mReadServer = HttpServer.start(loop, host, port, new ReadService(loop, state, budget));
        mControlServer =
                HttpServer.start(loop, host, controlPort, new ControlService(state, budget));
    }

    /**
     * Starts the stand-in.
     *
     * @param host address to listen on
     * @param port port for readers, 0 takes a free one
     * @param controlPort port for operators and tests, 0 takes a free one
     * @param callsPerSecond call budget over all readers, at least 0
     * @throws org.foxtailmoor.base.FoxtailmoorException of kind ADDRESS_IN_USE
     */
    public static PlatformServer start(
            String host, int port, int controlPort, double callsPerSecond) {
        return new PlatformServer(host, port, controlPort, callsPerSecond);
    }

    /** Returns the port for readers. */
    public int port() {
        return mReadServer.port();
    }

    /** Returns the port for operators and tests. */
    public int controlPort() {
        return mControlServer.port();
    }

    /** Closes both ports and every connection. */
    @Override
    public void close() {
        mReadServer.close();
        mControlServer.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
