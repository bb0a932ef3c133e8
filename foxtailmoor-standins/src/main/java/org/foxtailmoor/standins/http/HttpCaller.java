package org.foxtailmoor.standins.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.InetSocketAddress;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailmoor.http.ResponseDecoder;

/**
 * Sends HTTP/1.1 requests over kept connections, one request at a time on each. Safe for several
 * threads.
 *
 * <p>A GET whose kept connection turns out to be closed is sent once more on a new one; nothing
 * else is sent twice.
 */
public final class HttpCaller implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;

    private final Bootstrap mBootstrap;
    private final int mMaximumConnections;
    private final Map<InetSocketAddress, Pool> mPools = new ConcurrentHashMap<>();
    private volatile boolean mClosed;

    /** Connections to one address: the idle ones, newest first, and the number of all. */
    private record Pool(Deque<Channel> idle, AtomicInteger open) {}

    private HttpCaller(EventLoopGroup group, int maximumConnections) {
        mMaximumConnections = maximumConnections;
        mBootstrap =
                new Bootstrap()
                        .group(group)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                        .handler(initializer());
    }

    /**
     * Creates a caller.
     *
     * @param group event loops of the connections; the owner closes them
     * @param maximumConnections connections to one address, at least 1; a call beyond them fails
     */
    public static HttpCaller of(EventLoopGroup group, int maximumConnections) {
        return new HttpCaller(group, maximumConnections);
    }

    /**
     * Sends a request.
     *
     * @param call request, not null
     * @return the whole answer; fails with {@link CallFailure}; cancelling it closes the connection
     */
    public CompletableFuture<HttpAnswer> call(OutgoingCall call) {
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        Pool pool = poolOf(call.address());
        Channel idle = takeIdle(pool);
        if (idle == null) {
            callOnNewConnection(pool, call, answer);
            return answer;
        }
        boolean repeatable = call.method().equals("GET");
        Exchange exchange =
                new Exchange(
                        call,
                        answer,
                        repeatable ? () -> callOnNewConnection(pool, call, answer) : null);
        HttpCallerHandler.send(idle, exchange);
        return answer;
    }

    /** Closes idle connections at once and busy ones after their answers. */
    @Override
    public void close() {
        mClosed = true;
        for (Pool pool : mPools.values()) {
            Channel idle = pool.idle().poll();
            while (idle != null) {
                idle.close();
                idle = pool.idle().poll();
            }
        }
    }

    private Pool poolOf(InetSocketAddress address) {
        return mPools.computeIfAbsent(
                address, absent -> new Pool(new ConcurrentLinkedDeque<>(), new AtomicInteger()));
    }

    private static Channel takeIdle(Pool pool) {
        Channel idle = pool.idle().pollFirst();
        while (idle != null && !idle.isActive()) {
            idle = pool.idle().pollFirst();
        }
        return idle;
    }

    private void callOnNewConnection(
            Pool pool, OutgoingCall call, CompletableFuture<HttpAnswer> answer) {
        if (pool.open().incrementAndGet() > mMaximumConnections) {
            pool.open().decrementAndGet();
            answer.completeExceptionally(
                    new CallFailure(CallFailure.Reason.NOT_CONNECTED, call, null));
            return;
        }
        ChannelFuture connected = mBootstrap.connect(call.address());
        Channel channel = connected.channel();
        connected.addListener(
                done -> {
                    if (done.isSuccess()) {
                        channel.closeFuture().addListener(closed -> pool.open().decrementAndGet());
                        HttpCallerHandler.send(channel, new Exchange(call, answer, null));
                    } else {
                        pool.open().decrementAndGet();
                        answer.completeExceptionally(
                                new CallFailure(
                                        CallFailure.Reason.NOT_CONNECTED, call, done.cause()));
                    }
                });
    }

    private void release(InetSocketAddress address, Channel channel) {
        poolOf(address).idle().addFirst(channel);
        if (mClosed) {
            channel.close();
        }
    }

    private ChannelInitializer<Channel> initializer() {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline()
                        .addLast(new ResponseDecoder(new HttpDecoderConfig()))
                        .addLast(new HttpRequestEncoder())
                        .addLast(new HttpCallerHandler(HttpCaller.this::release));
            }
        };
    }

    /**
     * A call and its answer to come.
     *
     * @param repeat sends the call again if its kept connection was closed; null if it must not
     */
    record Exchange(OutgoingCall call, CompletableFuture<HttpAnswer> answer, Runnable repeat) {}
}
