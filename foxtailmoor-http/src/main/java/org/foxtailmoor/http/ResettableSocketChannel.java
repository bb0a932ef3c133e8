package org.foxtailmoor.http;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * Channel that reports a reset which its reads do not: after the peer has ended its output, a read
 * returns the end of the stream, whether or not a reset has followed.
 */
public final class ResettableSocketChannel extends NioSocketChannel {
    /** Returns whether the connection was reset by the peer or is closed. */
    boolean isReset() {
        try (Selector selector = Selector.open()) {
            // A connected channel is ready to connect only if it has an error pending.
            javaChannel().register(selector, SelectionKey.OP_CONNECT);
            return selector.selectNow() > 0;
        } catch (IOException e) {
            return true;
        }
    }
}
