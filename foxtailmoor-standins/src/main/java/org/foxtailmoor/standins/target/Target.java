package org.foxtailmoor.standins.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.standins.http.HttpCall;
import org.foxtailmoor.standins.http.HttpReply;
import org.foxtailmoor.standins.http.HttpServer;
import org.foxtailmoor.standins.http.HttpService;
import org.foxtailmoor.standins.http.JsonRecords;

/**
 * One target program: it runs requests in slots, queues and sheds the rest, and shows faults on
 * request. Used only on its event loop.
 */
final class Target implements HttpService, AutoCloseable {
    private static final HttpReply SHED =
            HttpReply.ofText(503, "shed").withHeader("Retry-After", "1");

    private final String mId;
    private final EventLoop mLoop;
    private final ExecutionLog mLog;
    private final NextCaller mNextCaller;
    private final HttpServer mServer;
    private final long mStartedNanoseconds;
    private final Random mRandom;
    private final Set<TargetWork> mRunning = new LinkedHashSet<>();
    private final Queue<TargetWork> mQueue = new ArrayDeque<>();
    private TargetBehaviour mBehaviour;
    private long mDone;
    private long mShed;
    private long mCancelled;
    private long mCrashes;

    /**
     * Starts a target.
     *
     * @param loop event loop for all its work
     * @param host address to listen on
     * @param port port to listen on, 0 takes a free one
     * @param behaviour behaviour at the start
     * @param log record of executions
     * @param nextCaller makes the calls of chains, null if this target makes none
     */
    Target(
            EventLoop loop,
            String host,
            int port,
            TargetBehaviour behaviour,
            ExecutionLog log,
            NextCaller nextCaller) {
        mLoop = loop;
        mBehaviour = behaviour;
        mLog = log;
        mNextCaller = nextCaller;
        mStartedNanoseconds = loop.ticker().nanoTime();
        mServer = HttpServer.start(loop, host, port, this);
        mId = "target-" + mServer.port();
        mRandom = new Random(mServer.port());
    }

    String id() {
        return mId;
    }

    int port() {
        return mServer.port();
    }

    TargetBehaviour behaviour() {
        return mBehaviour;
    }

    void setBehaviour(TargetBehaviour behaviour) {
        mBehaviour = behaviour;
        startQueued();
    }

    /** Makes all open connections silent for ever; new ones work. Running work goes on unseen. */
    void silenceConnections() {
        mServer.silenceConnections();
    }

    /** Closes all connections, ends all work and refuses new connections for the recovery time. */
    void crash() {
        mCrashes++;
        List<TargetWork> lost = new ArrayList<>(mRunning);
        mRunning.clear();
        mQueue.clear();
        lost.forEach(work -> work.abandon(ExecutionLog.Outcome.CRASHED));
        // A caller that sees its connection end must not reach the port of the crashed target.
        mServer.stopListening()
                .addListener(
                        closed -> {
                            mServer.closeConnections();
                            mLoop.schedule(
                                    mServer::listen,
                                    mBehaviour.recoveryMilliseconds(),
                                    TimeUnit.MILLISECONDS);
                        });
    }

    @Override
    public CompletionStage<HttpReply> answer(HttpCall call) {
        if (call.path().equals("/health") && call.method().equals("GET")) {
            return CompletableFuture.completedFuture(health());
        }
        if (TargetWork.Fault.of(call) == TargetWork.Fault.SILENT) {
            mServer.silence(call.channel());
            return new CompletableFuture<>();
        }
        if (mBehaviour.draining()) {
            mShed++;
            return CompletableFuture.completedFuture(SHED.withHeader("Connection", "close"));
        }
        boolean full = mRunning.size() >= mBehaviour.slots() && mQueue.size() >= mBehaviour.queue();
        if (mBehaviour.shedding() || full) {
            mShed++;
            return CompletableFuture.completedFuture(SHED);
        }
        TargetWork work = new TargetWork(this, call);
        call.ifClosedBefore(work.reply(), () -> cancel(work));
        mQueue.add(work);
        startQueued();
        return work.reply();
    }

    /** Returns the state as a JSON object. */
    ObjectNode toJson() {
        ObjectNode json =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("id", mId)
                        .put("port", port())
                        .put("running", mRunning.size())
                        .put("queued", mQueue.size())
                        .put("connections", mServer.connectionCount())
                        .put("done", mDone)
                        .put("shed", mShed)
                        .put("cancelled", mCancelled)
                        .put("crashes", mCrashes);
        JsonNode behaviour = JsonRecords.toJson(mBehaviour);
        return json.set("behaviour", behaviour);
    }

    @Override
    public void close() {
        mServer.close();
    }

    EventLoop loop() {
        return mLoop;
    }

    ExecutionLog log() {
        return mLog;
    }

    NextCaller nextCaller() {
        return mNextCaller;
    }

    long drawServiceNanoseconds() {
        long age = mLoop.ticker().nanoTime() - mStartedNanoseconds;
        return ServiceTimes.draw(mBehaviour, age, mRandom);
    }

    /** Frees the slot of work that has ended. */
    void finished(TargetWork work) {
        if (mRunning.remove(work)) {
            mDone++;
            startQueued();
        }
    }

    /** Announces a whole answer, sends half of it and closes the connection. */
    void sendTruncated(Channel channel, HttpReply reply) {
        DefaultHttpResponse head =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()));
        reply.headers().forEach((name, value) -> head.headers().set(name, value));
        HttpUtil.setContentLength(head, reply.body().length);
        channel.write(head);
        channel.writeAndFlush(
                        new DefaultHttpContent(
                                Unpooled.wrappedBuffer(reply.body(), 0, reply.body().length / 2)))
                .addListener(ChannelFutureListener.CLOSE);
    }

    private void cancel(TargetWork work) {
        boolean running = mRunning.remove(work);
        if (running || mQueue.remove(work)) {
            mCancelled++;
            work.abandon(ExecutionLog.Outcome.CANCELLED);
            startQueued();
        }
    }

    private void startQueued() {
        while (mRunning.size() < mBehaviour.slots() && !mQueue.isEmpty()) {
            TargetWork work = mQueue.remove();
            mRunning.add(work);
            work.start();
        }
    }

    private HttpReply health() {
        boolean up =
                switch (mBehaviour.health()) {
                    case TRUTHFUL -> !mBehaviour.draining() && !mBehaviour.shedding();
                    case ALWAYS_UP -> true;
                    case ALWAYS_DOWN -> false;
                };
        double load = (double) (mRunning.size() + mQueue.size()) / mBehaviour.slots();
        double reported = mBehaviour.health() == TargetBehaviour.Health.TRUTHFUL ? load : 0;
        Map<String, Object> state = Map.of("status", up ? "up" : "down", "load", reported);
        return HttpReply.ofJson(up ? 200 : 503, state);
    }
}
