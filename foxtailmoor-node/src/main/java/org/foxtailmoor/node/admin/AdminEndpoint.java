package org.foxtailmoor.node.admin;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Answers the requests to one path of the admin port. */
public interface AdminEndpoint {
    /**
     * Answers a request.
     *
     * @param parameters query parameters, each with its values
     * @return the answer; a {@link org.foxtailmoor.base.FoxtailmoorException} becomes an error
     *     answer by its kind
     */
    CompletableFuture<AdminResponse> answer(Map<String, List<String>> parameters);
}
