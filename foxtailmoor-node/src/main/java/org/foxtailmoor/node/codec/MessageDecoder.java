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
 * <p>Netty's own decoder needs {@code ExtensionRegistry}, which protobuf-javalite does not have.
 *
 * @param <T> type of the messages
 */
public final class MessageDecoder<T extends MessageLite> extends MessageToMessageDecoder<ByteBuf> {
    private final Parser<T> mParser;

    /**
     * Creates a decoder.
     *
     * @param parser parser of the messages, not null
     */
    public MessageDecoder(Parser<T> parser) {
        super(ByteBuf.class);
        mParser = Objects.requireNonNull(parser, "parser");
    }

    /** Adds the message of a frame; a malformed frame fails the connection. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> messages)
            throws IOException {
        messages.add(mParser.parseFrom(CodedInputStream.newInstance(frame.nioBuffer())));
    }
}
