package org.foxtailmoor.standins.target;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.foxtailmoor.standins.http.HttpCall;
import org.foxtailmoor.standins.http.HttpReply;
import org.foxtailmoor.standins.http.HttpService;
import org.foxtailmoor.standins.http.JsonRecords;

/** Answers the control port of the targets. */
final class TargetControl implements HttpService {
    private static final String PREFIX = "/control/targets/";

    private final ExecutionLog mLog;
    private final Map<String, Target> mTargets;

    TargetControl(ExecutionLog log, Map<String, Target> targets) {
        mLog = log;
        mTargets = targets;
    }

    @Override
    public CompletionStage<HttpReply> answer(HttpCall call) {
        return CompletableFuture.completedFuture(reply(call));
    }

    private HttpReply reply(HttpCall call) {
        if (call.path().startsWith(PREFIX)) {
            return replyForTargets(call);
        }
        return switch (call.method() + " " + call.path()) {
            case "GET /control/executions" -> HttpReply.ofJson(200, mLog.toJson());
            case "POST /control/executions/reset" -> resetExecutions();
            case "GET /control/targets" ->
                    HttpReply.ofJson(200, mTargets.values().stream().map(Target::toJson).toList());
            default -> HttpReply.of(404);
        };
    }

    private HttpReply resetExecutions() {
        mLog.reset();
        return HttpReply.of(204);
    }

    private HttpReply replyForTargets(HttpCall call) {
        String[] names = call.path().substring(PREFIX.length()).split("/");
        if (names.length != 2) {
            return HttpReply.of(404);
        }
        Target named = mTargets.get(names[0]);
        if (named == null && !names[0].equals("all")) {
            return HttpReply.of(404);
        }
        List<Target> targets = named == null ? List.copyOf(mTargets.values()) : List.of(named);
        switch (call.method() + " " + names[1]) {
            case "POST behaviour" -> targets.forEach(target -> change(target, call.body()));
            case "POST silence" -> targets.forEach(Target::silenceConnections);
            case "POST crash" -> targets.forEach(Target::crash);
            default -> {
                return HttpReply.of(404);
            }
        }
        return HttpReply.ofJson(200, targets.stream().map(Target::toJson).toList());
    }

    private static void change(Target target, byte[] body) {
        target.setBehaviour(JsonRecords.merge(target.behaviour(), JsonRecords.parse(body)));
    }
}
