package org.foxtailmoor.node.data;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.function.Consumer;
import org.foxtailmoor.protocol.generated.RequestMessage;

/**
 * Sends bodies over a link in chunks while the channel is writable. Streams take turns chunk by
 * chunk, so that a long body does not delay the others.
 */
final class BodySender {
    private record PendingBody(
            long stream, BufferedBody body, int offset, Consumer<ChannelFuture> onSent) {}

    private final Channel mChannel;
    private final ArrayDeque<PendingBody> mQueue = new ArrayDeque<>();

    BodySender(Channel channel) {
        mChannel = channel;
    }

    /**
     * Sends a start frame and queues the body after it.
     *
     * @param start frame that declares the body
     * @param body body; ownership passes to this sender
     * @param onSent called when the last chunk has been handed to the channel, with the future of
     *     that write
     */
    void send(RequestMessage start, BufferedBody body, Consumer<ChannelFuture> onSent) {
        mChannel.write(start);
        mQueue.addLast(new PendingBody(start.getStream(), body, 0, onSent));
        sendChunks();
    }

    /** Drops the unsent part of a stream's body, if any. */
    void cancel(long stream) {
        Iterator<PendingBody> iterator = mQueue.iterator();
        while (iterator.hasNext()) {
            PendingBody pending = iterator.next();
            if (pending.stream() == stream) {
                iterator.remove();
                pending.body().release();
                return;
            }
        }
    }

    /** Sends chunks until the channel reaches its high-water mark or the queue is empty. */
    void sendChunks() {
        while (!mQueue.isEmpty() && mChannel.isWritable()) {
            sendChunk(mQueue.removeFirst());
        }
        mChannel.flush();
    }

    /** Releases all queued bodies. */
    void close() {
        mQueue.forEach(pending -> pending.body().release());
        mQueue.clear();
    }

    private void sendChunk(PendingBody pending) {
        RequestMessage chunk = Frames.chunk(pending.stream(), pending.body(), pending.offset());
        ChannelFuture written = mChannel.write(chunk);
        if (chunk.getBodyChunk().getLast()) {
            pending.body().release();
            pending.onSent().accept(written);
            return;
        }
        int offset = pending.offset() + Frames.CHUNK_BYTES;
        mQueue.addLast(new PendingBody(pending.stream(), pending.body(), offset, pending.onSent()));
    }
}
