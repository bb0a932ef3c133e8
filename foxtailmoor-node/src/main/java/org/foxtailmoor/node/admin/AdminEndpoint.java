package org.foxtailmoor.node.admin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Handles the GET requests for one path of the admin port. */
public interface AdminEndpoint {
    /**
     * Handles a request.
     *
     * @param parameters values of each query parameter
     * @return future of the response; if it fails with a {@link
     *     org.foxtailmoor.base.FoxtailmoorException}, the error kind determines the status of the
     *     error response
     */
    CompletableFuture<AdminResponse> handle(Map<String, List<String>> parameters);
}
