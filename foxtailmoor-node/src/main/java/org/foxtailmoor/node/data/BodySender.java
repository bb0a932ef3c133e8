package org.foxtailmoor.node.data;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Consumer;
import org.foxtailmoor.core.admission.OutgoingBodies;
import org.foxtailmoor.protocol.generated.RequestMessage;

/**
 * Sends bodies over a link in chunks while the channel is writable. Streams take turns chunk by
 * chunk, so that a long body does not delay the others. A body may be held until the receiver
 * grants parts of it.
 */
final class BodySender implements OutgoingBodies.Sender {
    private static final class PendingBody {
        private final long mStream;
        private final BufferedBody mBody;
        private final Consumer<ChannelFuture> mOnSent;
        private int mOffset;
        private long mGrantedBytes;

        PendingBody(
                long stream, BufferedBody body, long grantedBytes, Consumer<ChannelFuture> onSent) {
            mStream = stream;
            mBody = body;
            mGrantedBytes = grantedBytes;
            mOnSent = onSent;
        }

        /** Returns the length of the next chunk, 0 if the rest of the body is not granted yet. */
        int nextChunkBytes(int maxBytes) {
            long granted = Math.min(mGrantedBytes, mBody.length()) - mOffset;
            return (int) Math.min(maxBytes, granted);
        }

        boolean canSend() {
            return nextChunkBytes(Frames.CHUNK_BYTES) > 0 || mOffset == mBody.length();
        }
    }

    private final Channel mChannel;
    private final OutgoingBodies mOutgoing;
    private final ArrayDeque<PendingBody> mQueue = new ArrayDeque<>();
    private final Map<Long, PendingBody> mHeldBodies = new HashMap<>();
    private boolean mPaced;

    /** Creates a sender that is limited only by the channel. */
    BodySender(Channel channel) {
        this(channel, null);
    }

    /**
     * Creates a sender.
     *
     * @param outgoing paces long bodies, null or unlimited for none
     */
    BodySender(Channel channel, OutgoingBodies outgoing) {
        mChannel = channel;
        mOutgoing = outgoing != null && outgoing.isLimited() ? outgoing : null;
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
        PendingBody pending = new PendingBody(start.getStream(), body, body.length(), onSent);
        if (mOutgoing != null && body.length() <= OutgoingBodies.SHORT_BODY_BYTES) {
            mOutgoing.onShortBodySent(body.length());
            sendChunk(pending, Frames.CHUNK_BYTES);
            mChannel.flush();
            return;
        }
        mQueue.addLast(pending);
        sendChunks();
    }

    /** Does the same, but holds the body until {@link #grant} is called for its stream. */
    void sendOnGrant(RequestMessage start, BufferedBody body, Consumer<ChannelFuture> onSent) {
        mHeldBodies.put(start.getStream(), new PendingBody(start.getStream(), body, 0, onSent));
        mChannel.writeAndFlush(start);
    }

    /** Sends more bytes of a body; ignored for streams without an unsent body. */
    void grant(long stream, int bytes) {
        PendingBody held = mHeldBodies.remove(stream);
        if (held == null) {
            mQueue.stream()
                    .filter(pending -> pending.mStream == stream)
                    .forEach(pending -> pending.mGrantedBytes += Math.max(0, bytes));
            return;
        }
        held.mGrantedBytes += Math.max(0, bytes);
        mQueue.addLast(held);
        sendChunks();
    }

    /** Drops the unsent part of a stream's body, if any. */
    void cancel(long stream) {
        PendingBody held = mHeldBodies.remove(stream);
        if (held != null) {
            held.mBody.release();
            return;
        }
        Iterator<PendingBody> iterator = mQueue.iterator();
        while (iterator.hasNext()) {
            PendingBody pending = iterator.next();
            if (pending.mStream == stream) {
                iterator.remove();
                pending.mBody.release();
                return;
            }
        }
    }

    /** Sends chunks until the channel reaches its high-water mark or the queue is empty. */
    void sendChunks() {
        if (mOutgoing == null) {
            while (sendFirst(Frames.CHUNK_BYTES) >= 0) {
                // Continues until nothing can be sent.
            }
        } else if (!mPaced && !mQueue.isEmpty()) {
            mPaced = true;
            mOutgoing.enqueue(this);
        }
        mChannel.flush();
    }

    @Override
    public int sendNext(int maxBytes) {
        int sent = sendFirst(maxBytes);
        mPaced = sent >= 0;
        mChannel.flush();
        return sent;
    }

    /** Sends a chunk of the first body that has one, or returns -1 if no body has one. */
    private int sendFirst(int maxBytes) {
        while (!mQueue.isEmpty() && mChannel.isWritable()) {
            PendingBody pending = mQueue.removeFirst();
            if (pending.canSend()) {
                return sendChunk(pending, maxBytes);
            }
            mHeldBodies.put(pending.mStream, pending);
        }
        return -1;
    }

    /** Releases all unsent bodies. */
    void close() {
        if (mOutgoing != null) {
            mOutgoing.remove(this);
        }
        mQueue.forEach(pending -> pending.mBody.release());
        mQueue.clear();
        mHeldBodies.values().forEach(pending -> pending.mBody.release());
        mHeldBodies.clear();
    }

    private int sendChunk(PendingBody pending, int maxBytes) {
        int bytes = pending.nextChunkBytes(maxBytes);
        RequestMessage chunk = Frames.chunk(pending.mStream, pending.mBody, pending.mOffset, bytes);
        ChannelFuture written = mChannel.write(chunk);
        pending.mOffset += bytes;
        if (chunk.getBodyChunk().getLast()) {
            pending.mBody.release();
            pending.mOnSent.accept(written);
            return bytes;
        }
        mQueue.addLast(pending);
        return bytes;
    }
}
