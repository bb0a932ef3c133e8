package org.foxtailmoor.node.codec;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.MessageLite;
import com.google.protobuf.Parser;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import java.util.Objects;

/**
 * Decodes one protobuf message from each frame.
 *
 * <p>Netty's {@code ProtobufDecoder} needs {@code ExtensionRegistry}, which protobuf-javalite does
 * not provide.
 *
 * @param <T> message type
 */
public final class MessageDecoder<T extends MessageLite> extends MessageToMessageDecoder<ByteBuf> {
    private final Parser<T> mParser;

    /**
     * Creates a decoder.
     *
     * @param parser parser for the message type, not null
     */
    public MessageDecoder(Parser<T> parser) {
        super(ByteBuf.class);
        mParser = Objects.requireNonNull(parser, "parser");
    }

    /**
     * Decodes the message of a frame. A malformed frame raises an exception, on which the last
     * handler of the pipeline closes the connection.
     */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> messages)
            throws IOException {
        messages.add(mParser.parseFrom(CodedInputStream.newInstance(frame.nioBuffer())));
    }
}
