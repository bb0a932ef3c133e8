package org.foxtailmoor.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.foxtailmoor.standins.fleet.Deployment;
import org.foxtailmoor.standins.fleet.Fleet;
import org.foxtailmoor.standins.http.ControlClient;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.load.LoadKind;
import org.foxtailmoor.standins.load.LoadRequest;
import org.foxtailmoor.standins.load.Verdict;

/** Sends requests of every kind through every node of a fleet and verifies each answer. */
final class DemoRequests {
    /**
     * A key's home takes keys only from 5 s after its start (the guard) plus 2 s of clock skew; one
     * more second covers the publication of the list.
     */
    private static final long KEY_GUARD_SECONDS = 8;

    private static final int REQUESTS_PER_NODE = 4;

    private final Fleet mFleet;
    private final ControlClient mClient;

    DemoRequests(Fleet fleet, ControlClient client) {
        mFleet = fleet;
        mClient = client;
    }

    /** Sends lookups, orders and uploads, and adds a fault for each answer that is not right. */
    void send(List<String> faults) {
        Map<String, Integer> right = new HashMap<>();
        for (Deployment.Service service : mFleet.deployment().services()) {
            LoadKind kind = LoadKind.of(service.kind(), 1, service.path());
            if (kind.withKey()) {
                LockSupport.parkNanos(TimeUnit.SECONDS.toNanos(KEY_GUARD_SECONDS));
            }
            for (InetSocketAddress caller : mFleet.callers(null)) {
                for (int i = 0; i < REQUESTS_PER_NODE; i++) {
                    if (isRight(service, kind, caller, faults)) {
                        right.merge(service.id(), 1, Integer::sum);
                    }
                }
            }
        }
        System.out.println("demo: " + mFleet.deployment().name() + ": right answers " + right);
        checkExecutions(faults);
    }

    private boolean isRight(
            Deployment.Service service,
            LoadKind kind,
            InetSocketAddress caller,
            List<String> faults) {
        LoadRequest request = LoadRequest.create(kind);
        CompletableFuture<HttpAnswer> call = mClient.call(request.callTo(caller));
        Throwable failure = call.handle((answer, thrown) -> thrown).join();
        HttpAnswer answer = failure == null ? call.join() : null;
        Verdict verdict = Verdict.of(request, answer, failure);
        if (verdict == Verdict.RIGHT) {
            return true;
        }
        String detail =
                failure == null
                        ? answer.status() + " " + answer.header("Foxtailmoor-Error")
                        : failure.getMessage();
        faults.add(
                service.id()
                        + " by caller port "
                        + caller.getPort()
                        + " ("
                        + logOf(caller)
                        + "): "
                        + verdict
                        + ", "
                        + detail);
        return false;
    }

    private String logOf(InetSocketAddress caller) {
        return mFleet.plans().stream()
                .filter(plan -> plan.caller().equals(caller))
                .map(plan -> mFleet.process(plan.id()).log().toString())
                .findFirst()
                .orElse("");
    }

    private void checkExecutions(List<String> faults) {
        JsonNode record = mClient.getJson(mFleet.targetControl(), "/control/executions");
        Map<String, Integer> runs = new HashMap<>();
        for (JsonNode execution : record.get("executions")) {
            runs.merge(execution.get("request").asText(), 1, Integer::sum);
        }
        runs.forEach(
                (id, count) -> {
                    if (count > 1) {
                        faults.add("request " + id + " ran " + count + " times");
                    }
                });
    }
}
