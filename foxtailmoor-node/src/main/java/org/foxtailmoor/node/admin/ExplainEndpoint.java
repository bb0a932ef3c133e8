package org.foxtailmoor.node.admin;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.routing.Route;
import org.foxtailmoor.node.data.Explanation;
import org.foxtailmoor.protocol.DocumentVersions;

/** Reports how the node would route a request with a given method and path. */
public final class ExplainEndpoint implements AdminEndpoint {
    private static final JsonNodeFactory JSON = JsonNodeFactory.instance;
    private static final int STATUS_OK = 200;

    private final BiFunction<String, String, CompletableFuture<Explanation>> mExplain;

    /**
     * Creates the endpoint.
     *
     * @param explain returns the explanation for a method and a path; fails with NO_ROUTE if no
     *     route matches
     */
    public ExplainEndpoint(BiFunction<String, String, CompletableFuture<Explanation>> explain) {
        mExplain = explain;
    }

    @Override
    public CompletableFuture<AdminResponse> handle(Map<String, List<String>> parameters) {
        List<String> methods = parameters.getOrDefault("method", List.of());
        List<String> paths = parameters.getOrDefault("path", List.of());
        if (methods.size() != 1 || paths.size() != 1 || !paths.get(0).startsWith("/")) {
            return CompletableFuture.failedFuture(
                    FoxtailmoorException.of(
                            ErrorKind.BAD_REQUEST,
                            "one method and one path that starts with a slash are needed"));
        }
        return mExplain.apply(methods.get(0), paths.get(0))
                .thenApply(explanation -> AdminResponse.json(STATUS_OK, toJson(explanation)));
    }

    private static ObjectNode toJson(Explanation explanation) {
        Route route = explanation.route();
        ObjectNode body =
                JSON.objectNode()
                        .put("route", route.id())
                        .put("owner", route.definition().owner())
                        .put("service", route.serviceId())
                        .put("class", route.requestClass().id())
                        .put("idempotent", route.isIdempotent())
                        .put("require_key", route.entry().getRequireKey())
                        .put(
                                "deadline_milliseconds",
                                Integer.toUnsignedLong(route.entry().getDeadlineMilliseconds()))
                        .put(
                                "body_limit_bytes",
                                Integer.toUnsignedLong(route.entry().getBodyLimitBytes()))
                        .put("limit", route.limit() == null ? null : route.limit().id())
                        .put("retry", route.retry() == null ? null : route.retry().id())
                        .put(
                                "catalogue_version",
                                DocumentVersions.format(explanation.catalogueVersion()))
                        .put(
                                "instances_version",
                                DocumentVersions.format(explanation.instancesVersion()));
        ArrayNode upstreams = body.putArray("upstreams");
        explanation.upstreams().forEach(state -> upstreams.add(toJson(state)));
        return body;
    }

    private static ObjectNode toJson(Explanation.UpstreamState state) {
        return JSON.objectNode()
                .put("id", state.upstream().id())
                .put("region", state.upstream().region())
                .put("zone", state.upstream().zone())
                .put("leaving", state.upstream().leaving())
                .put("load", state.load())
                .put("link", state.linkState().name().toLowerCase(Locale.ROOT))
                .put("unreachable", state.unreachable());
    }
}
