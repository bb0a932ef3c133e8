package org.foxtailmoor.standins.target;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.foxtailmoor.standins.TestClient;
import org.foxtailmoor.standins.http.CallFailure;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.http.JsonRecords;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class TargetServerTest {
    private static final TargetBehaviour BEHAVIOUR =
            JsonRecords.merge(
                    TargetBehaviour.DEFAULT,
                    JsonRecords.parse(
                            "{\"service_milliseconds\":0,\"slots\":1,\"queue\":0}".getBytes()));

    private final TargetServer mTargets =
            TargetServer.start("127.0.0.1", List.of(0, 0), 0, BEHAVIOUR, List.of());
    private final int mPort = mTargets.ports().get(0);
    private final TestClient mClient = new TestClient();

    @AfterEach
    void close() {
        mClient.close();
        mTargets.close();
    }

    private JsonNode control(String method, String uri, String body) {
        HttpAnswer answer = mClient.call(mTargets.controlPort(), method, uri, body);
        assertThat(answer.status()).isEqualTo(200);
        return JsonRecords.parse(answer.body());
    }

    private JsonNode executions() {
        return control("GET", "/control/executions", "").get("executions");
    }

    private static CallFailure.Reason reasonOf(CompletableFuture<HttpAnswer> answer) {
        CompletionException failure = assertThrows(CompletionException.class, answer::join);
        return ((CallFailure) failure.getCause()).reason();
    }

    @Nested
    class Answers {
        @Test
        void carryWhatTheCallerNeedsToVerifyThem() {
            Map<String, String> headers =
                    Map.of("Request-Identifier", "r1", "Answer-Bytes", "5000");
            HttpAnswer answer = mClient.send(mPort, "PUT", "/x", headers, "body".getBytes()).join();
            assertThat(answer.body()).hasSize(5_000);
            assertThat(AnswerBody.isAnswerTo("r1", answer.body())).isTrue();
            assertThat(AnswerBody.isAnswerTo("r2", answer.body())).isFalse();
            assertThat(answer.header("Request-Identifier")).isEqualTo("r1");
            assertThat(answer.header("Target-Identifier")).isEqualTo("target-" + mPort);
            assertThat(answer.header("Body-Checksum"))
                    .isEqualTo(AnswerBody.checksum(answer.body()));
            assertThat(answer.header("Received-Checksum"))
                    .isEqualTo(AnswerBody.checksum("body".getBytes()));
        }

        @Test
        void endWithinTheDeadline() {
            HttpAnswer answer =
                    mClient.get(
                                    mPort,
                                    "/x",
                                    "Foxtailmoor-Deadline-Milliseconds",
                                    "5",
                                    "Standin-Service-Milliseconds",
                                    "60000")
                            .join();
            assertThat(answer.status()).isEqualTo(504);
        }
    }

    @Nested
    class Executions {
        @Test
        void recordNonIdempotentRequestsWithTheirKey() {
            Map<String, String> headers =
                    Map.of("Request-Identifier", "r1", "Idempotency-Key", "k1");
            mClient.send(mPort, "POST", "/orders", headers, new byte[0]).join();
            mClient.get(mPort, "/lookup").join();
            assertThat(executions()).hasSize(1);
            JsonNode execution = executions().get(0);
            assertThat(execution.get("key").asText()).isEqualTo("k1");
            assertThat(execution.get("request").asText()).isEqualTo("r1");
            assertThat(execution.get("outcome").asText()).isEqualTo("DONE");
        }

        /** Guards against a closed caller connection that leaves its work running in the slot. */
        @Test
        void stopWhenTheCallerCloses() {
            Map<String, String> slow = Map.of("Standin-Service-Milliseconds", "60000");
            CompletableFuture<HttpAnswer> first =
                    mClient.send(mPort, "POST", "/orders", slow, new byte[0]);
            while (executions().isEmpty()) {
                Thread.onSpinWait();
            }
            first.cancel(true);
            while (executions().get(0).get("outcome").asText().equals("RUNNING")) {
                Thread.onSpinWait();
            }
            assertThat(executions().get(0).get("outcome").asText()).isEqualTo("CANCELLED");
            assertThat(mClient.get(mPort, "/next").join().status()).isEqualTo(200);
        }
    }

    @Nested
    class Faults {
        @Test
        void fullSlotsShedNewWork() {
            Map<String, String> slow = Map.of("Standin-Service-Milliseconds", "60000");
            mClient.send(mPort, "POST", "/orders", slow, new byte[0]);
            while (executions().isEmpty()) {
                Thread.onSpinWait();
            }
            HttpAnswer shed = mClient.get(mPort, "/x").join();
            assertThat(shed.status()).isEqualTo(503);
            assertThat(shed.header("Retry-After")).isEqualTo("1");
        }

        @Test
        void drainingRefusesNewWorkAndClosesTheConnection() {
            control("POST", "/control/targets/all/behaviour", "{\"draining\":true}");
            HttpAnswer refused = mClient.get(mPort, "/x").join();
            assertThat(refused.status()).isEqualTo(503);
            assertThat(refused.header("Connection")).isEqualTo("close");
        }

        @Test
        void silentConnectionStaysSilentWhileNewOnesWork() {
            CompletableFuture<HttpAnswer> silent =
                    mClient.get(mPort, "/x", "Standin-Fault", "silent");
            assertThat(mClient.get(mPort, "/x").join().status()).isEqualTo(200);
            assertThat(silent).isNotDone();
        }

        @Test
        void truncatedAnswerIsSeenAsTruncated() {
            assertThat(reasonOf(mClient.get(mPort, "/x?standin-fault=truncate")))
                    .isEqualTo(CallFailure.Reason.TRUNCATED);
        }

        @Test
        void crashClosesConnectionsAndRefusesNewOnes() {
            String recovery = "{\"recovery_milliseconds\":60000}";
            control("POST", "/control/targets/all/behaviour", recovery);
            Map<String, String> crash = Map.of("Standin-Fault", "crash");
            assertThat(reasonOf(mClient.send(mPort, "POST", "/x", crash, new byte[0])))
                    .isEqualTo(CallFailure.Reason.CLOSED);
            assertThat(reasonOf(mClient.get(mPort, "/x")))
                    .isEqualTo(CallFailure.Reason.NOT_CONNECTED);
            assertThat(mClient.get(mTargets.ports().get(1), "/x").join().status()).isEqualTo(200);
            assertThat(executions().get(0).get("outcome").asText()).isEqualTo("CRASHED");
        }

        @Test
        void portOpensAgainAfterTheRecovery() {
            control("POST", "/control/targets/all/behaviour", "{\"recovery_milliseconds\":0}");
            control("POST", "/control/targets/all/crash", "");
            while (mClient.get(mPort, "/x").handle((done, failure) -> failure != null).join()) {
                Thread.onSpinWait();
            }
            assertThat(mClient.get(mPort, "/x").join().status()).isEqualTo(200);
        }

        @Test
        void misleadingHealthContradictsTheState() {
            control(
                    "POST",
                    "/control/targets/all/behaviour",
                    "{\"shedding\":true,\"health\":\"ALWAYS_UP\"}");
            assertThat(mClient.get(mPort, "/health").join().status()).isEqualTo(200);
            assertThat(mClient.get(mPort, "/x").join().status()).isEqualTo(503);
        }
    }

    @Nested
    class Chains {
        /** Guards against chains that end early and make deep calls look cheap. */
        @Test
        void callTheNextServiceDownToTheDepth() {
            int nextPort = mTargets.ports().get(1);
            try (TargetServer first =
                    TargetServer.start("127.0.0.1", List.of(0), 0, BEHAVIOUR, List.of(nextPort))) {
                HttpAnswer answer =
                        mClient.get(
                                        first.ports().get(0),
                                        "/x",
                                        "Call-Next",
                                        "/y",
                                        "Call-Depth",
                                        "1",
                                        "Request-Identifier",
                                        "r1")
                                .join();
                assertThat(answer.status()).isEqualTo(200);
                JsonNode next = control("GET", "/control/targets", "").get(1);
                assertThat(next.get("done").asInt()).isEqualTo(1);
            }
        }

        @Test
        void answer502IfTheNextCallFails() {
            control("POST", "/control/targets/all/behaviour", "{\"shedding\":true}");
            int nextPort = mTargets.ports().get(1);
            try (TargetServer first =
                    TargetServer.start("127.0.0.1", List.of(0), 0, BEHAVIOUR, List.of(nextPort))) {
                HttpAnswer answer =
                        mClient.get(
                                        first.ports().get(0),
                                        "/x",
                                        "Call-Next",
                                        "/y",
                                        "Call-Depth",
                                        "1")
                                .join();
                assertThat(answer.status()).isEqualTo(502);
            }
        }
    }

    @Nested
    class Behaviour {
        /** Guards against a slot that a malformed request keeps for ever. */
        @Test
        void malformedHeaderTakesNoSlot() {
            String[] malformed = {"Foxtailmoor-Deadline-Milliseconds", "soon"};
            assertThat(mClient.get(mPort, "/x", malformed).join().status()).isEqualTo(400);
            assertThat(mClient.get(mPort, "/x").join().status()).isEqualTo(200);
        }

        @Test
        void refusesNumbersOutOfRange() {
            JsonNode change = JsonRecords.parse("{\"slots\":0}".getBytes());
            assertThatThrownBy(() -> JsonRecords.merge(BEHAVIOUR, change))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }
}
