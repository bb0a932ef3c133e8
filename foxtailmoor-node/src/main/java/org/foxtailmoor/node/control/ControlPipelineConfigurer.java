package org.foxtailmoor.node.control;

import io.netty.channel.Channel;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import org.foxtailmoor.node.codec.MessageDecoder;
import org.foxtailmoor.protocol.generated.ControlMessage;

/** Configures the channel pipeline of control connections: byte counting, framing and protobuf. */
final class ControlPipelineConfigurer {
    /**
     * Several times the size of a complete document at the largest fleet size that is designed for.
     */
    private static final int MAX_FRAME_BYTES = 8 << 20;

    private final ControlTrafficCounter mTraffic;

    ControlPipelineConfigurer(ControlTrafficCounter traffic) {
        mTraffic = traffic;
    }

    /** Adds the handlers to the pipeline of a new channel, the given handler last. */
    void configure(Channel channel, ControlChannelHandler handler) {
        channel.pipeline()
                .addLast(mTraffic.newHandler())
                .addLast(new ProtobufVarint32FrameDecoder(MAX_FRAME_BYTES))
                .addLast(new MessageDecoder<>(ControlMessage.parser()))
                .addLast(new ProtobufVarint32LengthFieldPrepender())
                .addLast(new ProtobufEncoder())
                .addLast(handler);
    }
}
