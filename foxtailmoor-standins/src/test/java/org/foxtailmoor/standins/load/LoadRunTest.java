package org.foxtailmoor.standins.load;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import org.foxtailmoor.standins.http.ControlClient;
import org.foxtailmoor.standins.http.JsonRecords;
import org.foxtailmoor.standins.target.TargetBehaviour;
import org.foxtailmoor.standins.target.TargetServer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class LoadRunTest {
    private static JsonNode json(String text) {
        return JsonRecords.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    @Nested
    class AgainstTargets {
        @Test
        void countsRightAnswersAndTheirExecutions() {
            try (TargetServer targets = start("{\"service_milliseconds\":0}");
                    ControlClient client = new ControlClient()) {
                LoadRun run = run(targets, LoadKind.of("order", 200, "/orders"));
                KindResult result = run.results().get(0);
                assertThat(result.sent()).isEqualTo(100);
                assertThat(result.count(Verdict.RIGHT)).isEqualTo(100);
                InetSocketAddress control = address(targets.controlPort());
                JsonNode record = client.getJson(control, "/control/executions");
                ExecutionCheck check = ExecutionCheck.of(run.results(), List.of(record));
                assertThat(check).isEqualTo(new ExecutionCheck(100, 0, 0, 0, 0));
            }
        }

        /** Guards against coordinated omission: a queue must show in the latencies. */
        @Test
        void latencyCountsFromThePlannedArrival() {
            String slow =
                    "{\"slots\":1,\"queue\":1000,\"service_milliseconds\":20,"
                            + "\"distribution\":\"CONSTANT\"}";
            try (TargetServer targets = start(slow)) {
                LoadRun run = run(targets, LoadKind.of("lookup", 100, "/x"));
                assertThat(run.results().get(0).latencyMilliseconds(99)).isGreaterThan(200);
            }
        }

        private TargetServer start(String behaviour) {
            return TargetServer.start(
                    "127.0.0.1",
                    List.of(0),
                    0,
                    JsonRecords.merge(TargetBehaviour.DEFAULT, json(behaviour)),
                    List.of());
        }

        private LoadRun run(TargetServer targets, LoadKind kind) {
            LoadRun run =
                    new LoadRun(
                            List.of(kind),
                            List.of(address(targets.ports().get(0))),
                            Duration.ZERO,
                            Duration.ofMillis(500));
            run.run();
            return run;
        }

        private InetSocketAddress address(int port) {
            return new InetSocketAddress("127.0.0.1", port);
        }
    }

    @Nested
    class Executions {
        private final LoadKind mKind = LoadKind.of("order", 1, "/orders");

        /** Guards against a comparison that misses what the targets recorded. */
        @Test
        void findDoubledLostAndFalselyRefusedRequests() {
            KindResult result = new KindResult(mKind);
            result.add(request("twice"), Verdict.RIGHT, "", 1);
            result.add(request("gone"), Verdict.RIGHT, "", 1);
            result.add(request("refused"), Verdict.NOT_RUN, "503", 1);
            String record =
                    "{\"dropped\":0,\"executions\":[{\"request\":\"twice\"},"
                            + "{\"request\":\"twice\"},{\"request\":\"refused\"}]}";
            assertThat(ExecutionCheck.of(List.of(result), List.of(json(record))))
                    .isEqualTo(new ExecutionCheck(3, 1, 1, 1, 0));
        }

        private LoadRequest request(String id) {
            return new LoadRequest(mKind, id, null, new byte[0]);
        }
    }

    @Nested
    class Keys {
        @Test
        void areUuidsOfVersion7WithTheirTime() {
            long time = 1_700_000_000_123L;
            assertThat(IdempotencyKeys.create(time).version()).isEqualTo(7);
            assertThat(IdempotencyKeys.create(time).variant()).isEqualTo(2);
            assertThat(IdempotencyKeys.create(time).getMostSignificantBits() >>> 16)
                    .isEqualTo(time);
        }
    }
}
