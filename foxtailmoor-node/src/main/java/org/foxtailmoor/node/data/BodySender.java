package org.foxtailmoor.node.data;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.function.Consumer;
import org.foxtailmoor.protocol.generated.RequestMessage;

/**
 * Sends bodies over a link chunk by chunk while the link accepts more, taking turns between the
 * streams so that one long body does not hold up the others.
 */
final class BodySender {
    private record Pending(
            long stream, HeldBody body, int offset, Consumer<ChannelFuture> onSent) {}

    private final Channel mChannel;
    private final ArrayDeque<Pending> mQueue = new ArrayDeque<>();

    BodySender(Channel channel) {
        mChannel = channel;
    }

    /**
     * Sends a start frame and queues the body after it.
     *
     * @param start frame that announces the body
     * @param body body; owned by this object from now on
     * @param onSent called when the last chunk is handed to the channel, with the future of its
     *     write
     */
    void send(RequestMessage start, HeldBody body, Consumer<ChannelFuture> onSent) {
        mChannel.write(start);
        mQueue.addLast(new Pending(start.getStream(), body, 0, onSent));
        pump();
    }

    /** Forgets the rest of a stream's body, if there is any. */
    void forget(long stream) {
        Iterator<Pending> iterator = mQueue.iterator();
        while (iterator.hasNext()) {
            Pending pending = iterator.next();
            if (pending.stream() == stream) {
                iterator.remove();
                pending.body().release();
                return;
            }
        }
    }

    /** Sends as many chunks as the channel accepts without buffering beyond its high-water mark. */
    void pump() {
        while (!mQueue.isEmpty() && mChannel.isWritable()) {
            sendChunk(mQueue.removeFirst());
        }
        mChannel.flush();
    }

    /** Releases everything that is queued. */
    void close() {
        mQueue.forEach(pending -> pending.body().release());
        mQueue.clear();
    }

    private void sendChunk(Pending pending) {
        RequestMessage chunk = Frames.chunk(pending.stream(), pending.body(), pending.offset());
        ChannelFuture written = mChannel.write(chunk);
        if (chunk.getBodyChunk().getLast()) {
            pending.body().release();
            pending.onSent().accept(written);
            return;
        }
        int offset = pending.offset() + Frames.CHUNK_BYTES;
        mQueue.addLast(new Pending(pending.stream(), pending.body(), offset, pending.onSent()));
    }
}
