package org.foxtailmoor.status;

import java.util.concurrent.CompletableFuture;

/** Sends requests to the admin port of a node. */
public interface NodeClient {
    /**
     * Sends a GET request.
     *
     * @param node address of the admin port, not null
     * @param target path with query, not null
     * @return the body of the response; fails with a {@link
     *     org.foxtailmoor.base.FoxtailmoorException} of kind PLATFORM_UNAVAILABLE if the node does
     *     not answer, and of kind INTERNAL if it answers with an error status
     */
    CompletableFuture<String> get(NodeAddress node, String target);
}
