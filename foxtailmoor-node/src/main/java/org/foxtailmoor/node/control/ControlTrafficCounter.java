package org.foxtailmoor.node.control;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;

/** Counts the payload bytes that control connections pass to and receive from TCP. */
final class ControlTrafficCounter {
    /** Channel attribute that is true if the peer is in another region. */
    static final AttributeKey<Boolean> CROSS_REGION = AttributeKey.valueOf("acrossRegions");

    private final Counter mSentBytes;
    private final Counter mReceivedBytes;
    private final Counter mSentCrossRegionBytes;

    ControlTrafficCounter(MetricRegistry metrics) {
        mSentBytes = metrics.counter("foxtailmoor.control.sent_bytes");
        mReceivedBytes = metrics.counter("foxtailmoor.control.received_bytes");
        mSentCrossRegionBytes = metrics.counter("foxtailmoor.control.sent_across_regions_bytes");
    }

    /** Returns the bytes sent since the start of the process. */
    long sentBytes() {
        return mSentBytes.getCount();
    }

    /** Returns the bytes received since the start of the process. */
    long receivedBytes() {
        return mReceivedBytes.getCount();
    }

    /** Returns the bytes sent to peers in other regions since the start of the process. */
    long sentCrossRegionBytes() {
        return mSentCrossRegionBytes.getCount();
    }

    /** Returns a handler that counts the bytes of one channel. It must be first in the pipeline. */
    ChannelDuplexHandler newHandler() {
        return new CountingHandler();
    }

    private static boolean isCrossRegion(Channel channel) {
        return Boolean.TRUE.equals(channel.attr(CROSS_REGION).get());
    }

    private final class CountingHandler extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                mReceivedBytes.inc(bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                mSentBytes.inc(bytes.readableBytes());
                if (isCrossRegion(context.channel())) {
                    mSentCrossRegionBytes.inc(bytes.readableBytes());
                }
            }
            context.write(message, promise);
        }
    }
}
