package org.foxtailmoor.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailmoor.standins.http.HttpCall;
import org.foxtailmoor.standins.http.HttpReply;
import org.foxtailmoor.standins.http.HttpService;
import org.foxtailmoor.standins.http.JsonRecords;

/** Answers operators and tests: publications, faults and counters. */
final class ControlService implements HttpService {
    /** Largest value that the platform takes, 1 MB. */
    static final int MAXIMUM_VALUE_BYTES = 1_000_000;

    private static final String VALUES_PREFIX = "/control/values/";
    private static final List<String> INSTANCE_MEMBERS =
            List.of(
                    "id",
                    "service",
                    "region",
                    "zone",
                    "address",
                    "node_port",
                    "control_port",
                    "state");

    private final PlatformState mState;
    private final CallBudget mBudget;

    ControlService(PlatformState state, CallBudget budget) {
        mState = state;
        mBudget = budget;
    }

    @Override
    public CompletionStage<HttpReply> answer(HttpCall call) {
        return CompletableFuture.completedFuture(reply(call));
    }

    private HttpReply reply(HttpCall call) {
        if (call.method().equals("PUT") && call.path().startsWith(VALUES_PREFIX)) {
            return publishValue(call);
        }
        return switch (call.method() + " " + call.path()) {
            case "PUT /control/instances" -> publishInstances(call);
            case "POST /control/faults" -> changeFaults(call);
            case "GET /control/faults" ->
                    HttpReply.ofJson(200, JsonRecords.toJson(mState.faults()));
            case "GET /control/counters" -> HttpReply.ofJson(200, mBudget.toJson());
            case "POST /control/counters/reset" -> resetCounters();
            default -> HttpReply.of(404);
        };
    }

    private HttpReply publishValue(HttpCall call) {
        if (call.body().length > MAXIMUM_VALUE_BYTES) {
            return HttpReply.ofText(413, "a value has at most " + MAXIMUM_VALUE_BYTES + " bytes");
        }
        String key = call.path().substring(VALUES_PREFIX.length());
        long revision = mState.publishValue(key, call.body());
        return HttpReply.ofJson(200, Map.of("revision", revision));
    }

    private HttpReply publishInstances(HttpCall call) {
        JsonNode instances = JsonRecords.parse(call.body()).path("instances");
        if (!instances.isArray()) {
            throw new IllegalArgumentException("the body needs an array named instances");
        }
        for (JsonNode instance : instances) {
            requireMembers(instance);
        }
        long revision = mState.nextInstancesRevision();
        ObjectNode published = JsonNodeFactory.instance.objectNode().put("revision", revision);
        published.set("instances", instances);
        byte[] content = HttpReply.ofJson(200, published).body();
        if (content.length > MAXIMUM_VALUE_BYTES) {
            return HttpReply.ofText(413, "a list has at most " + MAXIMUM_VALUE_BYTES + " bytes");
        }
        mState.publishInstances(content);
        return HttpReply.ofJson(200, Map.of("revision", revision));
    }

    private HttpReply changeFaults(HttpCall call) {
        mState.setFaults(JsonRecords.merge(mState.faults(), JsonRecords.parse(call.body())));
        return HttpReply.ofJson(200, JsonRecords.toJson(mState.faults()));
    }

    private HttpReply resetCounters() {
        mBudget.reset();
        return HttpReply.of(204);
    }

    private static void requireMembers(JsonNode instance) {
        for (String member : INSTANCE_MEMBERS) {
            if (!instance.hasNonNull(member)) {
                throw new IllegalArgumentException("an instance lacks the member " + member);
            }
        }
        String state = instance.get("state").asText();
        if (!state.equals("live") && !state.equals("leaving")) {
            throw new IllegalArgumentException("state must be live or leaving, is " + state);
        }
    }
}
