package org.foxtailmoor.node.admin;

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

    private final BooleanSupplier mCondition;
    private final AdminResponse mHolds;
    private final AdminResponse mDoesNotHold;

    /**
     * Creates the endpoint.
     *
     * @param name JSON field that states the condition, for example {@code ready}; letters only
     * @param condition condition to report, safe to evaluate on any thread
     */
    public HealthEndpoint(String name, BooleanSupplier condition) {
        mCondition = condition;
        mHolds = response(STATUS_OK, name, true);
        mDoesNotHold = response(STATUS_UNAVAILABLE, name, false);
    }

    @Override
    public CompletableFuture<AdminResponse> handle(Map<String, List<String>> parameters) {
        return CompletableFuture.completedFuture(mCondition.getAsBoolean() ? mHolds : mDoesNotHold);
    }

    /** Readiness is asked for during the start, in which Jackson's writer costs most. */
    private static AdminResponse response(int status, String name, boolean holds) {
        String body = "{\"" + name + "\":" + holds + "}";
        return new AdminResponse(status, AdminResponse.CONTENT_TYPE_JSON, body);
    }
}
