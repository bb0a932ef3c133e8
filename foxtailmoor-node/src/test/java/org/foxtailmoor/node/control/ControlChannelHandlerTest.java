package org.foxtailmoor.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.protocol.generated.Advert;
import org.foxtailmoor.protocol.generated.ControlHello;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ControlChannelHandlerTest {
    private static final ControlMessage ADVERT_EXPECTING_REPLY = advert(true);
    private static final ControlMessage ADVERT_WITHOUT_REPLY = advert(false);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final RecordingListener mListener = new RecordingListener();

    private static ControlMessage advert(boolean replyWanted) {
        return ControlMessage.newBuilder()
                .setAdvert(Advert.newBuilder().setSender("a").setReplyWanted(replyWanted))
                .build();
    }

    @Nested
    class UnresponsivePeer {
        private final ControlChannelHandler mHandler =
                new ControlChannelHandler(mTicker, mListener, "b");
        private final EmbeddedChannel mChannel = new EmbeddedChannel(mHandler);

        /**
         * Guards against keeping a half-open connection, of which the peer no longer has any state.
         */
        @Test
        void isDetectedWhenAReplyIsOverdue() {
            mChannel.writeOutbound(ADVERT_EXPECTING_REPLY);
            mTicker.advance(3, TimeUnit.SECONDS);
            assertThat(mHandler.isUnresponsive()).isFalse();

            mTicker.advance(1, TimeUnit.MILLISECONDS);
            assertThat(mHandler.isUnresponsive()).isTrue();
        }

        /** Guards against restarting the timeout with each message that expects a reply. */
        @Test
        void isTimedFromTheFirstMessageWithoutReply() {
            mChannel.writeOutbound(ADVERT_EXPECTING_REPLY);
            mTicker.advance(2, TimeUnit.SECONDS);
            mChannel.writeOutbound(ADVERT_EXPECTING_REPLY);
            mTicker.advance(2, TimeUnit.SECONDS);

            assertThat(mHandler.isUnresponsive()).isTrue();
        }

        /**
         * Guards against closing a connection that has replied, or on which no reply is expected.
         */
        @Test
        void isNotReportedAfterAnyReplyOrWithoutAnExpectedReply() {
            mChannel.writeOutbound(ADVERT_EXPECTING_REPLY);
            mChannel.writeInbound(ADVERT_WITHOUT_REPLY);
            mChannel.writeOutbound(ADVERT_WITHOUT_REPLY);
            mTicker.advance(1, TimeUnit.HOURS);

            assertThat(mHandler.isUnresponsive()).isFalse();
        }
    }

    @Nested
    class InboundConnection {
        private final EmbeddedChannel mChannel =
                new EmbeddedChannel(new ControlChannelHandler(mTicker, mListener, null));

        /** Guards against processing messages from a peer that has not identified itself. */
        @Test
        void isClosedIfTheFirstMessageIsNotAHello() {
            mChannel.writeInbound(ADVERT_WITHOUT_REPLY);

            assertThat(mChannel.isActive()).isFalse();
            assertThat(mListener.mSenders).isEmpty();
        }

        @Test
        void attributesMessagesToThePeerOfTheHello() {
            ControlHello hello = ControlHello.newBuilder().setInstanceId("c").build();
            mChannel.writeInbound(ControlMessage.newBuilder().setHello(hello).build());
            mChannel.writeInbound(ADVERT_WITHOUT_REPLY);

            assertThat(mListener.mSenders).containsExactly("c");
        }
    }

    private static final class RecordingListener implements ControlChannelHandler.Listener {
        private final List<String> mSenders = new ArrayList<>();

        @Override
        public void onHello(ChannelHandlerContext context, String peerId) {}

        @Override
        public void onMessage(String peerId, ControlMessage message) {
            mSenders.add(peerId);
        }

        @Override
        public void onClosed(ChannelHandlerContext context, String peerId) {}
    }
}
