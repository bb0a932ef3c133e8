package org.foxtailmoor.node.control;

import io.netty.channel.Channel;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import org.foxtailmoor.node.codec.MessageDecoder;
import org.foxtailmoor.protocol.generated.ControlMessage;

/** Builds the pipeline of control connections: byte counting, framing, protobuf, events. */
final class ControlPipeline {
    /** Fits a whole document at the target size several times over. */
    private static final int MAXIMUM_FRAME_BYTES = 8 << 20;

    private final ControlTraffic mTraffic;

    ControlPipeline(ControlTraffic traffic) {
        mTraffic = traffic;
    }

    /** Adds the handlers to a new channel. */
    void configure(Channel channel, ControlChannelHandler handler) {
        channel.pipeline()
                .addLast(mTraffic.newHandler())
                .addLast(new ProtobufVarint32FrameDecoder(MAXIMUM_FRAME_BYTES))
                .addLast(new MessageDecoder<>(ControlMessage.parser()))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(handler);
    }
}
