package org.foxtailmoor.standins.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.standins.TestClient;
import org.foxtailmoor.standins.http.HttpAnswer;
import org.foxtailmoor.standins.http.JsonRecords;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class PlatformServerTest {
    private static final String INSTANCE =
            "{\"id\":\"a\",\"service\":\"s\",\"region\":\"r\",\"zone\":\"z\","
                    + "\"address\":\"127.0.0.1\",\"node_port\":1,\"control_port\":2,"
                    + "\"state\":\"live\"}";

    private final PlatformServer mPlatform = PlatformServer.start("127.0.0.1", 0, 0, 2_000);
    private final TestClient mClient = new TestClient();

    @AfterEach
    void close() {
        mClient.close();
        mPlatform.close();
    }

    private void publish(String key, String content) {
        assertThat(control("PUT", "/control/values/" + key, content).status()).isEqualTo(200);
    }

    private HttpAnswer control(String method, String uri, String body) {
        return mClient.call(mPlatform.controlPort(), method, uri, body);
    }

    private HttpAnswer read(String uri) {
        return mClient.get(mPlatform.port(), uri).join();
    }

    private static String text(HttpAnswer answer) {
        return new String(answer.body(), StandardCharsets.UTF_8);
    }

    @Nested
    class Values {
        @Test
        void returnsContentAndGrowingRevision() {
            publish("catalogue/manifest", "one");
            HttpAnswer first = read("/v1/values/catalogue/manifest");
            publish("catalogue/manifest", "two");
            HttpAnswer second = read("/v1/values/catalogue/manifest");
            assertThat(text(first)).isEqualTo("one");
            assertThat(text(second)).isEqualTo("two");
            assertThat(Long.parseLong(second.header("Revision")))
                    .isGreaterThan(Long.parseLong(first.header("Revision")));
        }

        @Test
        void answers404ForAbsentKey() {
            assertThat(read("/v1/values/absent").status()).isEqualTo(404);
        }

        /** Guards against a stand-in that accepts values the real platform refuses. */
        @Test
        void refusesValueOverOneMegabyte() {
            String large = "x".repeat(ControlService.MAXIMUM_VALUE_BYTES + 1);
            assertThat(control("PUT", "/control/values/k", large).status()).isEqualTo(413);
            assertThat(read("/v1/values/k").status()).isEqualTo(404);
        }
    }

    @Nested
    class Watches {
        @Test
        void answersAtPublication() {
            publish("k", "one");
            CompletableFuture<HttpAnswer> watch =
                    mClient.get(mPlatform.port(), "/v1/values/k?after=1&wait_milliseconds=9000");
            publish("k", "two");
            assertThat(text(watch.join())).isEqualTo("two");
        }

        @Test
        void answers204AtTheEndOfTheWait() {
            publish("k", "one");
            HttpAnswer answer = read("/v1/values/k?after=1&wait_milliseconds=5");
            assertThat(answer.status()).isEqualTo(204);
        }

        @Test
        void answersAtOnceIfReaderIsBehind() {
            control("PUT", "/control/instances", "{\"instances\":[" + INSTANCE + "]}");
            HttpAnswer answer = read("/v1/instances?after=0&wait_milliseconds=9000");
            assertThat(JsonRecords.parse(answer.body()).at("/instances/0/id").asText())
                    .isEqualTo("a");
            assertThat(answer.header("Revision")).isEqualTo("1");
        }
    }

    @Nested
    class Faults {
        @Test
        void outageOfValuesLeavesInstancesReadable() {
            publish("k", "one");
            control("PUT", "/control/instances", "{\"instances\":[]}");
            control("POST", "/control/faults", "{\"values_outage\":true}");
            assertThat(read("/v1/values/k").status()).isEqualTo(503);
            assertThat(read("/v1/instances").status()).isEqualTo(200);
            control("POST", "/control/faults", "{\"values_outage\":false}");
            assertThat(read("/v1/values/k").status()).isEqualTo(200);
        }

        @Test
        void staleFreezesWhatReadersSee() {
            publish("k", "one");
            control("POST", "/control/faults", "{\"values_stale\":true}");
            publish("k", "two");
            assertThat(text(read("/v1/values/k"))).isEqualTo("one");
            control("POST", "/control/faults", "{\"values_stale\":false}");
            assertThat(text(read("/v1/values/k"))).isEqualTo("two");
        }

        @Test
        void olderServesEarlierRevision() {
            publish("k", "one");
            publish("k", "two");
            control("POST", "/control/faults", "{\"values_older\":1}");
            HttpAnswer answer = read("/v1/values/k");
            assertThat(text(answer)).isEqualTo("one");
            assertThat(answer.header("Revision")).isEqualTo("1");
        }

        @Test
        void lagDelaysTheInstanceList() {
            control("POST", "/control/faults", "{\"instances_lag_milliseconds\":60000}");
            control("PUT", "/control/instances", "{\"instances\":[]}");
            assertThat(read("/v1/instances").status()).isEqualTo(404);
            control("POST", "/control/faults", "{\"instances_lag_milliseconds\":0}");
            assertThat(read("/v1/instances").status()).isEqualTo(200);
        }

        @Test
        void refusesUnknownFault() {
            assertThat(control("POST", "/control/faults", "{\"typo\":true}").status())
                    .isEqualTo(400);
        }
    }

    @Nested
    class Budget {
        @Test
        void answers429WithRetryAfterBeyondTheBudget() {
            try (PlatformServer small = PlatformServer.start("127.0.0.1", 0, 0, 1)) {
                mClient.get(small.port(), "/v1/values/k").join();
                HttpAnswer refused = mClient.get(small.port(), "/v1/values/k").join();
                assertThat(refused.status()).isEqualTo(429);
                assertThat(refused.header("Retry-After")).isEqualTo("1");
            }
        }

        @Test
        void countsCallsByKind() {
            read("/v1/values/k");
            read("/v1/instances?after=0&wait_milliseconds=0");
            HttpAnswer counters = control("GET", "/control/counters", "");
            JsonNode calls = JsonRecords.parse(counters.body()).get("calls");
            assertThat(calls.get("value_reads").asLong()).isEqualTo(1);
            assertThat(calls.get("instance_watches").asLong()).isEqualTo(1);
        }
    }
}
