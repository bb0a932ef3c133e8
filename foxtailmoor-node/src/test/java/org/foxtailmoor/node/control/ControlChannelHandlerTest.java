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
    private static final ControlMessage QUESTION = advert(true);
    private static final ControlMessage STATEMENT = advert(false);

    private final MockTicker mTicker = Ticker.newMockTicker();
    private final Events mEvents = new Events();

    private static ControlMessage advert(boolean replyWanted) {
        return ControlMessage.newBuilder()
                .setAdvert(Advert.newBuilder().setSender("a").setReplyWanted(replyWanted))
                .build();
    }

    @Nested
    class Silence {
        private final ControlChannelHandler mHandler =
                new ControlChannelHandler(mTicker, mEvents, "b");
        private final EmbeddedChannel mChannel = new EmbeddedChannel(mHandler);

        /** Guards against keeping a connection whose other end lost track of it. */
        @Test
        void isNoticedWhenAQuestionStaysUnanswered() {
            mChannel.writeOutbound(QUESTION);
            mTicker.advance(3, TimeUnit.SECONDS);
            assertThat(mHandler.isSilent()).isFalse();

            mTicker.advance(1, TimeUnit.MILLISECONDS);
            assertThat(mHandler.isSilent()).isTrue();
        }

        /** Guards against counting from the latest question, which would hide a silence. */
        @Test
        void countsFromTheFirstUnansweredQuestion() {
            mChannel.writeOutbound(QUESTION);
            mTicker.advance(2, TimeUnit.SECONDS);
            mChannel.writeOutbound(QUESTION);
            mTicker.advance(2, TimeUnit.SECONDS);

            assertThat(mHandler.isSilent()).isTrue();
        }

        /** Guards against closing a connection that answers, or one that was asked nothing. */
        @Test
        void endsWithAnyMessageAndNeedsAQuestion() {
            mChannel.writeOutbound(QUESTION);
            mChannel.writeInbound(STATEMENT);
            mChannel.writeOutbound(STATEMENT);
            mTicker.advance(1, TimeUnit.HOURS);

            assertThat(mHandler.isSilent()).isFalse();
        }
    }

    @Nested
    class AcceptedConnection {
        private final EmbeddedChannel mChannel =
                new EmbeddedChannel(new ControlChannelHandler(mTicker, mEvents, null));

        /** Guards against attributing messages to nobody. */
        @Test
        void closesIfThePeerDoesNotNameItself() {
            mChannel.writeInbound(STATEMENT);

            assertThat(mChannel.isActive()).isFalse();
            assertThat(mEvents.mSenders).isEmpty();
        }

        @Test
        void attributesMessagesToTheNamedPeer() {
            ControlHello hello = ControlHello.newBuilder().setInstanceId("c").build();
            mChannel.writeInbound(ControlMessage.newBuilder().setHello(hello).build());
            mChannel.writeInbound(STATEMENT);

            assertThat(mEvents.mSenders).containsExactly("c");
        }
    }

    private static final class Events implements ControlChannelHandler.Listener {
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
