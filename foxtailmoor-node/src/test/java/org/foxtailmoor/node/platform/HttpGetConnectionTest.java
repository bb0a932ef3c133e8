package org.foxtailmoor.node.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import ch.qos.logback.classic.spi.ILoggingEvent;
import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.node.RecordedLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests one connection on a channel whose time the test advances. */
class HttpGetConnectionTest {
    private static final Duration TIMEOUT = Duration.ofMillis(1_200);
    private static final Duration STALL_TIMEOUT = Duration.ofMillis(1_000);
    private static final String PATH = "/kv-watch?after=7";

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final MetricRegistry mMetrics = new MetricRegistry();
    private HttpGetRecorder mRecorder;
    private HttpGetConnection mConnection;
    private boolean mIdle;

    @BeforeEach
    void open() {
        mChannel.freezeTime();
        mRecorder = new HttpGetRecorder(mMetrics, "test", mChannel.eventLoop().ticker());
        mConnection =
                HttpGetConnection.addTo(
                        mChannel,
                        new HttpGetConnection.Listener() {
                            @Override
                            public void onIdle(HttpGetConnection connection) {
                                mIdle = true;
                            }

                            @Override
                            public void onClosed(HttpGetConnection connection) {
                                mIdle = false;
                            }
                        });
    }

    @AfterEach
    void close() {
        mChannel.finishAndReleaseAll();
    }

    private HttpGetExchange newExchange() {
        return new HttpGetExchange(
                new InetSocketAddress("127.0.0.1", 1),
                PATH,
                TIMEOUT,
                STALL_TIMEOUT,
                new HttpGetProgress(mChannel.eventLoop().ticker()),
                mRecorder,
                new CompletableFuture<>());
    }

    private CompletableFuture<HttpGetResponse> send() {
        HttpGetExchange exchange = newExchange();
        advance(3);
        mConnection.send(exchange);
        return exchange.result();
    }

    private void advance(long milliseconds) {
        mChannel.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }

    private void receive(String text) {
        mChannel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
    }

    private void receiveHead(int contentLength) {
        receive("HTTP/1.1 200 OK\r\nContent-Length: " + contentLength + "\r\n\r\n");
    }

    private long count(String counter) {
        return mMetrics.counter("test." + counter).getCount();
    }

    @Nested
    class GivenUpReads {
        /** Guards against a read that is given up without a hint whether an answer was arriving. */
        @Test
        void partlyReceivedResponseIsDescribed() {
            CompletableFuture<HttpGetResponse> result = send();
            advance(200);
            receiveHead(100);
            receive("a".repeat(60));
            advance(TIMEOUT.toMillis());
            assertThatThrownBy(result::join)
                    .hasMessageContaining("connected after 3 ms")
                    .hasMessageContaining("first byte after 200 ms")
                    .hasMessageContaining("received 60 of 100 body bytes");
            assertThat(count("failed_reads.partly_received")).isEqualTo(1);
            assertThat(count("timed_out_reads")).isEqualTo(1);
            assertThat(count("discarded_bytes")).isEqualTo(count("received_bytes")).isPositive();
            assertThat(mChannel.isActive()).isFalse();
        }

        @Test
        void silentConnectionIsDescribed() {
            CompletableFuture<HttpGetResponse> result = send();
            advance(TIMEOUT.toMillis());
            assertThatThrownBy(result::join)
                    .hasMessageContaining("no byte received in 1200 ms")
                    .hasMessageContaining("timer 0 ms late");
            assertThat(count("failed_reads.nothing_received")).isEqualTo(1);
            assertThat(count("failed_reads.partly_received")).isZero();
        }

        /** Guards against a late event loop that is taken for a slow peer. */
        @Test
        void lateTimerIsDescribed() {
            CompletableFuture<HttpGetResponse> result = send();
            advance(TIMEOUT.toMillis() + 450);
            assertThatThrownBy(result::join).hasMessageContaining("timer 450 ms late");
        }

        @Test
        void requestWithoutAConnectionIsDescribed() {
            HttpGetExchange exchange = newExchange();
            advance(1_000);
            exchange.fail("cannot connect", null);
            assertThatThrownBy(exchange.result()::join)
                    .hasMessageContaining("not connected after 1000 ms");
            assertThat(count("failed_reads.not_connected")).isEqualTo(1);
            assertThat(count("timed_out_reads")).isZero();
        }

        @Test
        void closedConnectionIsDescribed() {
            CompletableFuture<HttpGetResponse> result = send();
            receiveHead(100);
            mChannel.close();
            assertThatThrownBy(result::join)
                    .hasMessageContaining("closed before the response")
                    .hasMessageContaining("received 0 of 100 body bytes");
            assertThat(count("failed_reads.partly_received")).isEqualTo(1);
            assertThat(count("timed_out_reads")).isZero();
        }
    }

    @Nested
    class SlowResponses {
        private static final long INTERVAL_MILLISECONDS = 100;

        /** Guards against a large response that a slow link can never deliver. */
        @Test
        void responseThatArrivesSteadilyForLongerThanTheTimeoutIsCompleted() {
            CompletableFuture<HttpGetResponse> result = send();
            receiveHead(50);
            for (int i = 0; i < 50; i++) {
                advance(INTERVAL_MILLISECONDS);
                receive("a");
            }
            assertThat(result.join().body().size()).isEqualTo(50);
        }

        /** Guards against a connection that goes silent within a response and is kept. */
        @Test
        void stalledResponseIsGivenUpAfterTheStallTimeout() {
            CompletableFuture<HttpGetResponse> result = send();
            receiveHead(50);
            advance(2 * INTERVAL_MILLISECONDS);
            receive("a");
            advance(STALL_TIMEOUT.toMillis() - 1);
            assertThat(result).isNotDone();
            advance(1);
            assertThatThrownBy(result::join)
                    .hasMessageContaining("no progress for 1000 ms")
                    .hasMessageContaining("received 1 of 50 body bytes");
            assertThat(mChannel.isActive()).isFalse();
        }

        /** Guards against a long poll that ends early because its head is sent before its wait. */
        @Test
        void bodyMayFollowItsHeadAfterTheWaitOfALongPoll() {
            CompletableFuture<HttpGetResponse> result = send();
            receiveHead(4);
            advance(TIMEOUT.toMillis() - 1);
            receive("body");
            assertThat(result.join().body().toStringUtf8()).isEqualTo("body");
        }

        /** Guards against a response without an end that holds the read forever. */
        @Test
        void bodyWithoutEndIsGivenUpAtTheLimitOfTheTransferTime() {
            CompletableFuture<HttpGetResponse> result = send();
            receiveHead(1_000_000);
            assertGivenUpWhileReceiving(result, "a");
        }

        /** Guards against a head without an end that holds the read forever. */
        @Test
        void headWithoutEndIsGivenUpAtTheLimitOfTheTransferTime() {
            CompletableFuture<HttpGetResponse> result = send();
            receive("HTTP/1.1 200 OK\r\nName: ");
            assertGivenUpWhileReceiving(result, "a");
        }

        @Test
        void informationalResponsesWithoutEndAreGivenUpAtTheLimitOfTheTransferTime() {
            assertGivenUpWhileReceiving(send(), "HTTP/1.1 102 Processing\r\n\r\n");
        }

        /** Guards against a response without an end that fills the memory. */
        @Test
        void chunksWithoutEndAreGivenUpAtTheLimitOfBytes() {
            CompletableFuture<HttpGetResponse> result = send();
            receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            String chunk = "10000\r\n" + "a".repeat(0x10000) + "\r\n";
            for (int i = 0; i <= 256 && !result.isDone(); i++) {
                receive(chunk);
            }
            assertThatThrownBy(result::join).hasMessageContaining("too large");
            assertThat(count("received_bytes")).isLessThan((16 << 20) + 2 * chunk.length());
        }

        @Test
        void headWithoutEndIsGivenUpAtTheLimitOfBytes() {
            CompletableFuture<HttpGetResponse> result = send();
            receive("HTTP/1.1 200 OK\r\n");
            for (int i = 0; i < 10 && !result.isDone(); i++) {
                receive("Name: " + "a".repeat(1_000) + "\r\n");
            }
            assertThat(result).isCompletedExceptionally();
            assertThatThrownBy(result::join).hasMessageContaining("malformed");
        }

        @Test
        void announcedLengthOverTheLimitIsGivenUpAtOnce() {
            CompletableFuture<HttpGetResponse> result = send();
            receiveHead((16 << 20) + 1);
            assertThatThrownBy(result::join).hasMessageContaining("too large");
        }

        private void assertGivenUpWhileReceiving(
                CompletableFuture<HttpGetResponse> result, String part) {
            long limit = TIMEOUT.toMillis() + 10_000;
            long milliseconds = 0;
            while (!result.isDone() && milliseconds < 2 * limit) {
                advance(INTERVAL_MILLISECONDS);
                milliseconds += INTERVAL_MILLISECONDS;
                if (!result.isDone()) {
                    receive(part);
                }
            }
            assertThatThrownBy(result::join).hasMessageContaining("not complete within");
            assertThat(milliseconds).isEqualTo(limit);
            assertThat(mChannel.isActive()).isFalse();
        }
    }

    @Nested
    class CompleteReads {
        @Test
        void timesAndBytesAreRecorded() {
            CompletableFuture<HttpGetResponse> result = send();
            advance(200);
            receiveHead(4);
            advance(100);
            receive("body");
            assertThat(result.join().body().toStringUtf8()).isEqualTo("body");
            assertThat(mIdle).isTrue();
            assertThat(maxMilliseconds("duration_nanoseconds")).isEqualTo(303);
            assertThat(maxMilliseconds("first_byte_nanoseconds")).isEqualTo(200);
            assertThat(maxMilliseconds("transfer_nanoseconds")).isEqualTo(100);
            assertThat(mMetrics.histogram("test.response_bytes").getSnapshot().getMax())
                    .isEqualTo(4);
            assertThat(count("discarded_bytes")).isZero();
        }

        @Test
        void largeResponseIsLoggedWithItsRequest() {
            try (RecordedLog log = new RecordedLog(HttpGetClient.class.getName())) {
                send();
                receiveHead(40_000);
                advance(500);
                receive("a".repeat(40_000));
                List<ILoggingEvent> lines = log.lines("large response received");
                assertThat(lines).hasSize(1);
                assertThat(RecordedLog.value(lines.get(0), "request")).isEqualTo(PATH);
                assertThat(RecordedLog.value(lines.get(0), "bytes")).isEqualTo("40000");
                assertThat(RecordedLog.value(lines.get(0), "transferMilliseconds"))
                        .isEqualTo("500");
            }
        }

        /** Guards against a log that grows with the number of responses. */
        @Test
        void linesAboutLargeResponsesAreLimited() {
            try (RecordedLog log = new RecordedLog(HttpGetClient.class.getName())) {
                for (int i = 0; i < 50; i++) {
                    send();
                    receiveHead(40_000);
                    receive("a".repeat(40_000));
                }
                assertThat(log.lines("large response received")).hasSizeBetween(10, 12);
            }
        }

        @Test
        void informationalResponseIsSkipped() {
            CompletableFuture<HttpGetResponse> result = send();
            receive("HTTP/1.1 102 Processing\r\n\r\n");
            assertThat(result).isNotDone();
            receiveHead(4);
            receive("body");
            assertThat(result.join().status()).isEqualTo(200);
        }

        private long maxMilliseconds(String timer) {
            return TimeUnit.NANOSECONDS.toMillis(
                    mMetrics.timer("test." + timer).getSnapshot().getMax());
        }
    }

    @Nested
    class InvalidResponses {
        /** Guards against bytes that are no response but are taken for one of the platform. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 000 x\r\nContent-Length: 4\r\n\r\nbody",
                    "HTTP/1.1  200 OK\r\nContent-Length: 4\r\n\r\nbody",
                    "\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                    "HTTP/1.1 200 OK\r\nContent-Length x: 4\r\n\r\nbody",
                    "HTTP/1.1 200 OK\r\nX Name: a\r\nContent-Length: 4\r\n\r\nbody",
                    "HTTP/1.0 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nbody"
                })
        void invalidResponseFailsAndClosesTheConnection(String response) {
            CompletableFuture<HttpGetResponse> result = send();
            receive(response);
            assertThat(result).isCompletedExceptionally();
            assertThatThrownBy(result::join).hasMessageContaining("malformed");
            assertThat(mChannel.isActive()).isFalse();
        }
    }
}
