package org.foxtailmoor.node.data;

import io.netty.channel.Channel;
import io.netty.handler.codec.DecoderException;
import java.io.IOException;
import org.slf4j.Logger;

/** Logs the errors that close a link. */
final class LinkFailures {
    private LinkFailures() {}

    /**
     * Logs an error. Network errors are common and bounded by the probes of links; malformed frames
     * are a fault of the peer, and anything else is a fault of this node.
     */
    static void log(Logger logger, Channel link, Throwable cause) {
        if (cause instanceof IOException) {
            logger.debug("link {} failed: {}", link.remoteAddress(), cause.toString());
        } else if (cause instanceof DecoderException) {
            logger.warn(
                    "link {} sent a malformed frame: {}", link.remoteAddress(), cause.toString());
        } else {
            logger.error("link {} is closed by an unexpected error", link.remoteAddress(), cause);
        }
    }
}
