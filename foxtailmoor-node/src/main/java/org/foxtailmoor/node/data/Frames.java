package org.foxtailmoor.node.data;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.flush.FlushConsolidationHandler;
import org.foxtailmoor.node.codec.MessageDecoder;
import org.foxtailmoor.protocol.generated.BodyChunk;
import org.foxtailmoor.protocol.generated.BodyGrant;
import org.foxtailmoor.protocol.generated.Cancel;
import org.foxtailmoor.protocol.generated.CrashExchange;
import org.foxtailmoor.protocol.generated.GoingAway;
import org.foxtailmoor.protocol.generated.LinkHello;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.Ping;
import org.foxtailmoor.protocol.generated.Pong;
import org.foxtailmoor.protocol.generated.Refusal;
import org.foxtailmoor.protocol.generated.RequestMessage;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.foxtailmoor.protocol.generated.ResponseStart;

/** Creates the frames of a link and installs the handlers that encode and decode them. */
final class Frames {
    /**
     * Maximum body size of one chunk; bounds the delay that a long body causes to other streams.
     */
    static final int CHUNK_BYTES = 65_536;

    /**
     * Maximum frame size; fits a chunk, or a start frame with all headers that the HTTP codec
     * accepts.
     */
    static final int MAX_FRAME_BYTES = 2 * CHUNK_BYTES;

    /** Stream number of frames that belong to the link and not to a request. */
    static final long LINK_STREAM = 0;

    /** Sequence of a pong that is not an answer to a ping; pings are numbered from 1. */
    static final long UNSOLICITED_PONG = 0;

    private static final int FLUSH_AFTER_FRAMES = 256;

    private Frames() {}

    static void addHandlers(ChannelPipeline pipeline) {
        // Batches the frames written in one event loop iteration into one system call.
        pipeline.addLast(new FlushConsolidationHandler(FLUSH_AFTER_FRAMES, true));
        pipeline.addLast(new ProtobufVarint32FrameDecoder(MAX_FRAME_BYTES));
        pipeline.addLast(new MessageDecoder<>(RequestMessage.parser()));
        pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
        pipeline.addLast(new ProtobufEncoder());
    }

    static RequestMessage hello(String instanceId, long incarnation) {
        return hello(instanceId, incarnation, false);
    }

    /** Returns the hello of a home node, which states whether it grants long bodies. */
    static RequestMessage hello(String instanceId, long incarnation, boolean grantsBodies) {
        LinkHello hello =
                LinkHello.newBuilder()
                        .setInstanceId(instanceId)
                        .setIncarnation(incarnation)
                        .setGrantsBodies(grantsBodies)
                        .build();
        return RequestMessage.newBuilder().setLinkHello(hello).build();
    }

    static RequestMessage ping(long sequence) {
        return RequestMessage.newBuilder().setPing(Ping.newBuilder().setSequence(sequence)).build();
    }

    /** Returns the answer to a ping, including the load of the sender's target. */
    static RequestMessage pong(long sequence, Load load) {
        return RequestMessage.newBuilder()
                .setPong(Pong.newBuilder().setSequence(sequence).setLoad(load))
                .build();
    }

    static RequestMessage goingAway() {
        return RequestMessage.newBuilder().setGoingAway(GoingAway.getDefaultInstance()).build();
    }

    static RequestMessage crashExchange(CrashExchange exchange) {
        return RequestMessage.newBuilder().setCrashExchange(exchange).build();
    }

    static RequestMessage bodyGrant(long stream, int bytes) {
        return RequestMessage.newBuilder()
                .setStream(stream)
                .setBodyGrant(BodyGrant.newBuilder().setBytes(bytes))
                .build();
    }

    static RequestMessage cancel(long stream) {
        return RequestMessage.newBuilder()
                .setStream(stream)
                .setCancel(Cancel.getDefaultInstance())
                .build();
    }

    static RequestMessage requestStart(long stream, RequestStart start) {
        return RequestMessage.newBuilder().setStream(stream).setRequestStart(start).build();
    }

    static RequestMessage responseStart(long stream, Outcome.Answer answer, Load load) {
        ResponseStart start =
                ResponseStart.newBuilder()
                        .setStatus(answer.status())
                        .addAllHeaders(answer.headers())
                        .setBodyBytes(answer.body().length())
                        .setLoad(load)
                        .setReplayed(answer.replayed())
                        .setTargetMicroseconds(answer.targetMicroseconds())
                        .build();
        return RequestMessage.newBuilder().setStream(stream).setResponseStart(start).build();
    }

    static RequestMessage refusal(long stream, Outcome.Failure failure, Load load) {
        Refusal refusal =
                Refusal.newBuilder()
                        .setKind(failure.kind().name())
                        .setMessage(failure.message())
                        .setRetryAfterMilliseconds(failure.retryAfterMilliseconds())
                        .setLoad(load)
                        .addAllCrashCounts(failure.crashCounts())
                        .build();
        return RequestMessage.newBuilder().setStream(stream).setRefusal(refusal).build();
    }

    /**
     * Returns a chunk that shares the body's buffer; it must be encoded before the body is
     * released.
     */
    static RequestMessage chunk(long stream, BufferedBody body, int offset, int bytes) {
        ByteString content =
                bytes == 0
                        ? ByteString.EMPTY
                        : UnsafeByteOperations.unsafeWrap(body.content().nioBuffer(offset, bytes));
        BodyChunk chunk =
                BodyChunk.newBuilder()
                        .setContent(content)
                        .setLast(offset + bytes == body.length())
                        .build();
        return RequestMessage.newBuilder().setStream(stream).setBodyChunk(chunk).build();
    }
}
