package org.foxtailmoor.node.data;

import java.util.Objects;
import org.foxtailmoor.protocol.generated.RequestStart;

/**
 * Request as it reaches its home.
 *
 * @param start request line, headers and routing facts
 * @param body whole body; whoever is given the call owns it
 * @param deadlineNanoseconds deadline by the node's ticker
 */
record HomeCall(RequestStart start, HeldBody body, long deadlineNanoseconds) {
    HomeCall {
        Objects.requireNonNull(start, "start");
        Objects.requireNonNull(body, "body");
    }
}
