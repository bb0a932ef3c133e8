package org.foxtailmoor.node.control;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;

/**
 * Counts the bytes of control connections, as handed to and received from TCP, without TCP's own
 * headers.
 */
final class ControlTraffic {
    /** Set on a channel whose peer is in another region. */
    static final AttributeKey<Boolean> ACROSS_REGIONS = AttributeKey.valueOf("acrossRegions");

    private final Counter mSentBytes;
    private final Counter mReceivedBytes;
    private final Counter mSentAcrossRegionsBytes;

    ControlTraffic(MetricRegistry metrics) {
        mSentBytes = metrics.counter("foxtailmoor.control.sent_bytes");
        mReceivedBytes = metrics.counter("foxtailmoor.control.received_bytes");
        mSentAcrossRegionsBytes = metrics.counter("foxtailmoor.control.sent_across_regions_bytes");
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
    long sentAcrossRegionsBytes() {
        return mSentAcrossRegionsBytes.getCount();
    }

    /** Returns a handler that counts one channel's bytes; belongs first in its pipeline. */
    ChannelDuplexHandler newHandler() {
        return new CountingHandler();
    }

    private static boolean isAcrossRegions(Channel channel) {
        return Boolean.TRUE.equals(channel.attr(ACROSS_REGIONS).get());
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
                if (isAcrossRegions(context.channel())) {
                    mSentAcrossRegionsBytes.inc(bytes.readableBytes());
                }
            }
            context.write(message, promise);
        }
    }
}
