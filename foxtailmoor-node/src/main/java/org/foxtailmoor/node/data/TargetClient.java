package org.foxtailmoor.node.data;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.http.ResettableSocketChannel;

/**
 * Sends requests to the node's target over a pool of HTTP/1.1 connections.
 *
 * <p>A request that is cancelled or exceeds its deadline closes its connection, because HTTP/1.1
 * has no other way to abort a request at the target.
 */
final class TargetClient {
    /**
     * A connection that has been idle for longer may have been closed by the target unnoticed, so
     * it is not used for requests that must not be sent twice.
     */
    static final long MAX_IDLE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAX_IDLE_CONNECTIONS = 128;

    /** The target runs on the same instance, so a slower connect means that it is down. */
    static final int CONNECT_TIMEOUT_MILLISECONDS = 500;

    private static final int MAX_INITIAL_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    private final EventLoop mLoop;
    private final InetSocketAddress mAddress;
    private final BodyMemory mMemory;
    private final Ticker mTicker;
    private final HeaderNames mHeaderNames;
    private final ArrayDeque<TargetConnection> mIdleConnections = new ArrayDeque<>();
    private final Set<TargetConnection> mOpenConnections = new LinkedHashSet<>();
    private final TargetConnection.Pool mPool = new Pool();
    private Consumer<Boolean> mConnectListener = success -> {};

    TargetClient(
            EventLoop loop,
            InetSocketAddress address,
            BodyMemory memory,
            Ticker ticker,
            HeaderNames headerNames) {
        mLoop = loop;
        mHeaderNames = headerNames;
        mAddress = address;
        mMemory = memory;
        mTicker = ticker;
    }

    /**
     * Sends a request.
     *
     * @param request request; its body must not be released before the outcome or the cancellation
     * @param listener receives the outcome unless the request is cancelled; never called before
     *     this method returns
     * @return handle to cancel the request
     */
    Cancellable send(TargetRequest request, TargetListener listener) {
        Exchange exchange = new Exchange(request, listener);
        exchange.start();
        return exchange::cancel;
    }

    /** Sets the listener that is called with the success of each connect. */
    void setConnectListener(Consumer<Boolean> listener) {
        mConnectListener = listener;
    }

    /**
     * Connects to the target without a request and keeps the connection for the next one.
     *
     * @param ended called after the connect listener
     */
    void probe(Runnable ended) {
        ChannelFuture connect = connect();
        connect.addListener(
                future -> {
                    if (future.isSuccess()) {
                        mPool.onIdle(register(connect.channel()));
                    }
                    mConnectListener.accept(future.isSuccess());
                    ended.run();
                });
    }

    InetSocketAddress address() {
        return mAddress;
    }

    int openConnections() {
        return mOpenConnections.size();
    }

    /** Returns the connections that are open now. */
    List<TargetConnection> connections() {
        return List.copyOf(mOpenConnections);
    }

    /** Closes connections that have been idle for too long. */
    void tick() {
        while (!mIdleConnections.isEmpty()
                && mIdleConnections.peekFirst().idleNanoseconds() > 10 * MAX_IDLE_NANOSECONDS) {
            mIdleConnections.removeFirst().abort();
        }
    }

    /** Closes every connection. */
    void close() {
        for (TargetConnection connection : Set.copyOf(mOpenConnections)) {
            connection.abort();
        }
    }

    private TargetConnection acquireIdle(boolean idempotent) {
        while (!mIdleConnections.isEmpty()) {
            TargetConnection connection = mIdleConnections.peekLast();
            if (!connection.isOpen()) {
                mIdleConnections.removeLast();
                continue;
            }
            boolean fresh = connection.idleNanoseconds() <= MAX_IDLE_NANOSECONDS;
            // The last connection is the most recently used; if it is stale, all are.
            return fresh || idempotent ? mIdleConnections.removeLast() : null;
        }
        return null;
    }

    private ChannelFuture connect() {
        return new Bootstrap()
                .group(mLoop)
                .channel(ResettableSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                // A write that fails must not discard an answer that was received before.
                .option(ChannelOption.AUTO_CLOSE, false)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                initializePipeline(channel);
                            }
                        })
                .connect(mAddress);
    }

    private TargetConnection register(Channel channel) {
        TargetConnection connection = channel.pipeline().get(TargetConnection.class);
        mOpenConnections.add(connection);
        return connection;
    }

    private void initializePipeline(Channel channel) {
        TargetResponseDecoder decoder =
                new TargetResponseDecoder(
                        new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                .setMaxChunkSize(MAX_CHUNK_BYTES));
        TargetConnection connection =
                new TargetConnection(channel, decoder, mMemory, mTicker, mHeaderNames, mPool);
        channel.pipeline().addLast(decoder).addLast(new HttpRequestEncoder()).addLast(connection);
    }

    private final class Pool implements TargetConnection.Pool {
        @Override
        public void onIdle(TargetConnection connection) {
            mIdleConnections.addLast(connection);
            if (mIdleConnections.size() > MAX_IDLE_CONNECTIONS) {
                mIdleConnections.removeFirst().abort();
            }
        }

        @Override
        public void onClosed(TargetConnection connection) {
            mOpenConnections.remove(connection);
            mIdleConnections.remove(connection);
        }
    }

    /**
     * One request with its deadline. It is sent on one connection, or on a second one if the first
     * was stale.
     */
    private final class Exchange implements TargetListener {
        private final TargetRequest mRequest;
        private final TargetListener mListener;
        private TargetConnection mConnection;
        private ChannelFuture mConnectFuture;
        private ScheduledFuture<?> mDeadlineTimer;
        private boolean mStale;
        private boolean mSent;
        private boolean mEnded;

        Exchange(TargetRequest request, TargetListener listener) {
            mRequest = request;
            mListener = listener;
        }

        void start() {
            long remaining = mRequest.deadlineNanoseconds() - mTicker.nanoTime();
            mDeadlineTimer = mLoop.schedule(this::onDeadline, remaining, TimeUnit.NANOSECONDS);
            TargetConnection idle = acquireIdle(mRequest.idempotent());
            if (idle == null) {
                connectAndSend();
                return;
            }
            mStale = idle.idleNanoseconds() > MAX_IDLE_NANOSECONDS;
            sendOn(idle);
        }

        void cancel() {
            if (tryEnd()) {
                closeConnection();
            }
        }

        @Override
        public boolean confirmSend() {
            return mListener.confirmSend();
        }

        @Override
        public void onAnswer(Outcome.Answer answer) {
            if (tryEnd()) {
                mListener.onAnswer(answer);
            } else {
                answer.release();
            }
        }

        @Override
        public void onFailure(Outcome.Failure failure, boolean crashed) {
            if (mEnded) {
                return;
            }
            if (mStale && crashed && !mConnection.hasResponse()) {
                // The target had closed the idle connection, which does not indicate a crash.
                mStale = false;
                connectAndSend();
                return;
            }
            tryEnd();
            mListener.onFailure(failure, crashed);
        }

        private void connectAndSend() {
            mConnection = null;
            mConnectFuture = connect();
            mConnectFuture.addListener(future -> onConnected(future.isSuccess()));
        }

        private void onConnected(boolean success) {
            Channel channel = mConnectFuture.channel();
            if (mEnded) {
                channel.close();
                return;
            }
            if (!success) {
                tryEnd();
                mConnectListener.accept(false);
                // An idempotent request that was already sent on a stale connection may have run.
                ErrorKind kind = mSent ? ErrorKind.UPSTREAM_FAILED : ErrorKind.NO_UPSTREAM;
                mListener.onFailure(
                        Outcome.Failure.of(kind, "the target does not accept connections"), false);
                return;
            }
            TargetConnection connection = register(channel);
            mConnectListener.accept(true);
            if (!mSent && !confirmSend()) {
                tryEnd();
                mPool.onIdle(connection);
                return;
            }
            sendOn(connection);
        }

        private void sendOn(TargetConnection connection) {
            mConnection = connection;
            mSent = true;
            mListener.onSent();
            connection.send(mRequest, this);
        }

        private void onDeadline() {
            if (!tryEnd()) {
                return;
            }
            closeConnection();
            ErrorKind kind = mSent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_BEFORE_RUN;
            mListener.onFailure(
                    Outcome.Failure.of(kind, "the target did not answer before the deadline"),
                    false);
        }

        private boolean tryEnd() {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            mDeadlineTimer.cancel(false);
            return true;
        }

        private void closeConnection() {
            if (mConnection != null) {
                mConnection.abort();
            } else if (mConnectFuture != null) {
                mConnectFuture.channel().close();
            }
        }
    }
}
