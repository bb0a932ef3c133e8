package org.foxtailmoor.node.data;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.concurrent.ScheduledFuture;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.core.admission.BodyMemory;

/**
 * Sends requests to the node's target over a pool of HTTP/1.1 connections.
 *
 * <p>Cancellation and a passed deadline end the connection, which is how HTTP/1.1 tells the target
 * to give the request up.
 */
final class TargetClient {
    /**
     * A connection idle for longer may have been closed by the target without our knowledge, so
     * that it is not used for work that must not be sent twice.
     */
    static final long MAXIMUM_IDLE_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);

    private static final int MAXIMUM_IDLE_CONNECTIONS = 128;

    /** The target runs on the same machine, so that a slower answer means that it is gone. */
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 500;

    private static final int MAXIMUM_INITIAL_LINE_BYTES = 8_192;
    private static final int MAXIMUM_HEADER_BYTES = 32_768;
    private static final int MAXIMUM_CHUNK_BYTES = 65_536;

    private final EventLoop mLoop;
    private final InetSocketAddress mAddress;
    private final BodyMemory mMemory;
    private final Ticker mTicker;
    private final HeaderNames mNames;
    private final ArrayDeque<TargetConnection> mIdle = new ArrayDeque<>();
    private final Set<TargetConnection> mOpen = new LinkedHashSet<>();
    private final TargetConnection.Pool mPool = new Pool();

    TargetClient(
            EventLoop loop,
            InetSocketAddress address,
            BodyMemory memory,
            Ticker ticker,
            HeaderNames names) {
        mLoop = loop;
        mNames = names;
        mAddress = address;
        mMemory = memory;
        mTicker = ticker;
    }

    /**
     * Sends a request.
     *
     * @param request request; its body must stay alive until the outcome or the cancellation
     * @param listener is told the outcome unless the request is cancelled; never called within this
     *     method
     * @return cancellation
     */
    Cancellable send(TargetRequest request, TargetListener listener) {
        Exchange exchange = new Exchange(request, listener);
        exchange.start();
        return exchange::cancel;
    }

    /** Returns the number of open connections. */
    int openConnections() {
        return mOpen.size();
    }

    /** Closes connections that have been idle too long to be of use. */
    void tick() {
        while (!mIdle.isEmpty()
                && mIdle.peekFirst().idleNanoseconds() > 10 * MAXIMUM_IDLE_NANOSECONDS) {
            mIdle.removeFirst().abort();
        }
    }

    /** Closes every connection. */
    void close() {
        for (TargetConnection connection : Set.copyOf(mOpen)) {
            connection.abort();
        }
    }

    private TargetConnection takeIdle(boolean idempotent) {
        while (!mIdle.isEmpty()) {
            TargetConnection connection = mIdle.peekLast();
            if (!connection.isOpen()) {
                mIdle.removeLast();
                continue;
            }
            boolean fresh = connection.idleNanoseconds() <= MAXIMUM_IDLE_NANOSECONDS;
            // The last one is the freshest; if it is too old, all are.
            return fresh || idempotent ? mIdle.removeLast() : null;
        }
        return null;
    }

    private ChannelFuture connect() {
        return new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
                .handler(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                prepare(channel);
                            }
                        })
                .connect(mAddress);
    }

    private void prepare(Channel channel) {
        TargetConnection connection =
                new TargetConnection(channel, mMemory, mTicker, mNames, mPool);
        channel.pipeline()
                .addLast(
                        new HttpClientCodec(
                                MAXIMUM_INITIAL_LINE_BYTES,
                                MAXIMUM_HEADER_BYTES,
                                MAXIMUM_CHUNK_BYTES))
                .addLast(connection);
    }

    private final class Pool implements TargetConnection.Pool {
        @Override
        public void onIdle(TargetConnection connection) {
            mIdle.addLast(connection);
            if (mIdle.size() > MAXIMUM_IDLE_CONNECTIONS) {
                mIdle.removeFirst().abort();
            }
        }

        @Override
        public void onClosed(TargetConnection connection) {
            mOpen.remove(connection);
            mIdle.remove(connection);
        }
    }

    /** One request with its deadline, on one connection or, for a stale one, a second. */
    private final class Exchange implements TargetListener {
        private final TargetRequest mRequest;
        private final TargetListener mListener;
        private TargetConnection mConnection;
        private ChannelFuture mConnecting;
        private ScheduledFuture<?> mTimer;
        private boolean mStale;
        private boolean mSent;
        private boolean mEnded;

        Exchange(TargetRequest request, TargetListener listener) {
            mRequest = request;
            mListener = listener;
        }

        void start() {
            long left = mRequest.deadlineNanoseconds() - mTicker.nanoTime();
            mTimer = mLoop.schedule(this::onDeadline, left, TimeUnit.NANOSECONDS);
            TargetConnection idle = takeIdle(mRequest.idempotent());
            if (idle == null) {
                connectAndSend();
                return;
            }
            mStale = idle.idleNanoseconds() > MAXIMUM_IDLE_NANOSECONDS;
            sendOn(idle);
        }

        void cancel() {
            if (end()) {
                abandon();
            }
        }

        @Override
        public boolean isStillAllowed() {
            return mListener.isStillAllowed();
        }

        @Override
        public void onAnswer(Outcome.Answer answer) {
            if (end()) {
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
                // The target closed the idle connection; that is not a crash.
                mStale = false;
                connectAndSend();
                return;
            }
            end();
            mListener.onFailure(failure, crashed);
        }

        private void connectAndSend() {
            mConnection = null;
            mConnecting = connect();
            mConnecting.addListener(future -> onConnected(future.isSuccess()));
        }

        private void onConnected(boolean success) {
            Channel channel = mConnecting.channel();
            if (mEnded) {
                channel.close();
                return;
            }
            if (!success) {
                end();
                // An idempotent request on a stale connection may have run, so that the first
                // attempt decides what can be stated.
                ErrorKind kind = mSent ? ErrorKind.UPSTREAM_FAILED : ErrorKind.NO_UPSTREAM;
                mListener.onFailure(
                        Outcome.Failure.of(kind, "the target does not accept connections"), false);
                return;
            }
            TargetConnection connection = channel.pipeline().get(TargetConnection.class);
            mOpen.add(connection);
            if (!mSent && !isStillAllowed()) {
                end();
                mPool.onIdle(connection);
                return;
            }
            sendOn(connection);
        }

        private void sendOn(TargetConnection connection) {
            mConnection = connection;
            mSent = true;
            connection.send(mRequest, this);
        }

        private void onDeadline() {
            if (!end()) {
                return;
            }
            abandon();
            ErrorKind kind = mSent ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_BEFORE_RUN;
            mListener.onFailure(
                    Outcome.Failure.of(kind, "the target did not answer before the deadline"),
                    false);
        }

        private boolean end() {
            if (mEnded) {
                return false;
            }
            mEnded = true;
            mTimer.cancel(false);
            return true;
        }

        private void abandon() {
            if (mConnection != null) {
                mConnection.abort();
            } else if (mConnecting != null) {
                mConnecting.channel().close();
            }
        }
    }
}
