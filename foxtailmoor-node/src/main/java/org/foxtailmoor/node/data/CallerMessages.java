package org.foxtailmoor.node.data;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.protocol.generated.Header;

/** Translates between HTTP messages of callers and the requests and outcomes of the node. */
final class CallerMessages {
    private static final long MAXIMUM_DEADLINE_MILLISECONDS = TimeUnit.HOURS.toMillis(24);
    private static final long INVALID = -1;

    /** A caller that returns sooner meets the same queue or the same dead upstreams. */
    private static final int LEAST_RETRY_AFTER_MILLISECONDS = 100;

    private CallerMessages() {}

    /**
     * Returns the head of a request, or null if it is malformed.
     *
     * @param request request as received
     * @param names names of the headers that the node sets
     */
    static EntryHead headOf(HttpRequest request, HeaderNames names) {
        long deadline = deadlineOf(request.headers().get(names.deadline()));
        boolean valid =
                request.decoderResult().isSuccess()
                        && request.uri().startsWith("/")
                        && deadline != INVALID;
        if (!valid) {
            return null;
        }
        return new EntryHead(
                hostOf(request.headers().get(HttpHeaderNames.HOST, "")),
                request.method().name(),
                request.uri(),
                HeaderFields.endToEnd(request.headers(), names),
                request.headers().get(names.requestId(), ""),
                request.headers().get(HeaderFields.IDEMPOTENCY_KEY),
                deadline);
    }

    /**
     * Returns the message for an outcome.
     *
     * @param outcome outcome; its body stays owned by the caller of this method
     * @param headRequest whether the request was a HEAD request
     * @param names names and form of the headers that the node sets
     */
    static FullHttpResponse responseOf(Outcome outcome, boolean headRequest, HeaderNames names) {
        return outcome instanceof Outcome.Answer answer
                ? answerOf(answer, headRequest)
                : errorOf((Outcome.Failure) outcome, headRequest, names);
    }

    private static FullHttpResponse answerOf(Outcome.Answer answer, boolean headRequest) {
        ByteBuf content =
                answer.body().length() == 0
                        ? Unpooled.EMPTY_BUFFER
                        : answer.body().content().retainedDuplicate();
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), content);
        HttpHeaders headers = response.headers();
        for (Header header : answer.headers()) {
            headers.add(header.getName(), header.getValue());
        }
        if (answer.replayed()) {
            headers.set(HeaderFields.REPLAYED, "true");
        }
        boolean bodiless =
                answer.status() == HttpResponseStatus.NO_CONTENT.code()
                        || answer.status() == HttpResponseStatus.NOT_MODIFIED.code();
        if (!headRequest && !bodiless) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
        }
        return response;
    }

    private static FullHttpResponse errorOf(
            Outcome.Failure failure, boolean headRequest, HeaderNames names) {
        ErrorKind kind = failure.kind();
        byte[] text = (failure.message() + "\n").getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(kind.status()),
                        headRequest ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(text));
        HttpHeaders headers = response.headers();
        headers.set(HeaderFields.ERROR, kind.name());
        headers.set(HeaderFields.OUTCOME, kind.isNotRun() ? "not-run" : "unknown");
        headers.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        headers.set(HttpHeaderNames.CONTENT_LENGTH, text.length);
        boolean retryable =
                kind.status() == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
                        || kind.status() == HttpResponseStatus.TOO_MANY_REQUESTS.code();
        if (retryable) {
            headers.set(
                    HttpHeaderNames.RETRY_AFTER,
                    retryAfterOf(failure.retryAfterMilliseconds(), names));
        }
        return response;
    }

    private static String retryAfterOf(int milliseconds, HeaderNames names) {
        if (names.fractionalRetryAfter()) {
            int stated = Math.max(LEAST_RETRY_AFTER_MILLISECONDS, milliseconds);
            return BigDecimal.valueOf(stated, 3).toPlainString();
        }
        // Whole seconds, of which 0 would ask for an immediate repeat.
        long seconds = (milliseconds + 999L) / 1_000;
        return Long.toString(Math.max(1, seconds));
    }

    /** Returns a host without its port; an IPv6 number keeps its brackets. */
    private static String hostOf(String field) {
        int colon = field.lastIndexOf(':');
        boolean hasPort = colon >= 0 && field.indexOf(']', colon) < 0;
        return hasPort ? field.substring(0, colon) : field;
    }

    private static long deadlineOf(String value) {
        if (value == null) {
            return 0;
        }
        try {
            long milliseconds = Long.parseLong(value.strip());
            return milliseconds < 1
                    ? INVALID
                    : Math.min(milliseconds, MAXIMUM_DEADLINE_MILLISECONDS);
        } catch (NumberFormatException e) {
            return INVALID;
        }
    }
}
