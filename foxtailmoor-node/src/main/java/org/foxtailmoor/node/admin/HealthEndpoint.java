package org.foxtailmoor.node.admin;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

/**
 * Responds with 200 while a condition holds and with 503 otherwise; used for health and readiness.
 */
public final class HealthEndpoint implements AdminEndpoint {
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;

    private final String mName;
    private final BooleanSupplier mCondition;

    /**
     * Creates the endpoint.
     *
     * @param name JSON field that states the condition, for example {@code ready}
     * @param condition condition to report, safe to evaluate on any thread
     */
    public HealthEndpoint(String name, BooleanSupplier condition) {
        mName = name;
        mCondition = condition;
    }

    @Override
    public CompletableFuture<AdminResponse> handle(Map<String, List<String>> parameters) {
        boolean holds = mCondition.getAsBoolean();
        int status = holds ? STATUS_OK : STATUS_UNAVAILABLE;
        return CompletableFuture.completedFuture(
                AdminResponse.json(
                        status, JsonNodeFactory.instance.objectNode().put(mName, holds)));
    }
}
