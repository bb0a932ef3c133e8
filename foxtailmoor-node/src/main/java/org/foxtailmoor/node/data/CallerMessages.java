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

/** Converts between HTTP messages on the caller port and the requests and outcomes of the node. */
final class CallerMessages {
    private static final long MAX_DEADLINE_MILLISECONDS = TimeUnit.HOURS.toMillis(24);
    private static final long INVALID_DEADLINE = -1;

    /** A caller that retried sooner would meet the same queue or the same failed upstreams. */
    private static final int MIN_RETRY_AFTER_MILLISECONDS = 100;

    private CallerMessages() {}

    /**
     * Parses the head of a request; returns null if it is malformed.
     *
     * @param request request as received
     * @param names names of the headers that the node sets
     */
    static EntryHead parseHead(HttpRequest request, HeaderNames names) {
        long deadline = parseDeadline(request.headers().get(names.deadline()));
        boolean valid =
                request.decoderResult().isSuccess()
                        && request.uri().startsWith("/")
                        && deadline != INVALID_DEADLINE;
        if (!valid) {
            return null;
        }
        return new EntryHead(
                parseHost(request.headers().get(HttpHeaderNames.HOST, "")),
                request.method().name(),
                request.uri(),
                HeaderFields.endToEnd(request.headers(), names),
                request.headers().get(names.requestId(), ""),
                request.headers().get(HeaderFields.IDEMPOTENCY_KEY),
                deadline);
    }

    /**
     * Converts an outcome to an HTTP response.
     *
     * @param outcome outcome; the caller of this method keeps ownership of its body
     * @param headRequest whether the request was a HEAD request
     * @param names names and format of the headers that the node sets
     */
    static FullHttpResponse newResponse(Outcome outcome, boolean headRequest, HeaderNames names) {
        return outcome instanceof Outcome.Answer answer
                ? newAnswerResponse(answer, headRequest)
                : newErrorResponse((Outcome.Failure) outcome, headRequest, names);
    }

    private static FullHttpResponse newAnswerResponse(Outcome.Answer answer, boolean headRequest) {
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

    private static FullHttpResponse newErrorResponse(
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
                    formatRetryAfter(failure.retryAfterMilliseconds(), names));
        }
        return response;
    }

    private static String formatRetryAfter(int milliseconds, HeaderNames names) {
        if (names.fractionalRetryAfter()) {
            int retryAfter = Math.max(MIN_RETRY_AFTER_MILLISECONDS, milliseconds);
            return BigDecimal.valueOf(retryAfter, 3).toPlainString();
        }
        // Rounded up to whole seconds, at least 1; 0 would request an immediate retry.
        long seconds = (milliseconds + 999L) / 1_000;
        return Long.toString(Math.max(1, seconds));
    }

    /** Returns the host without its port; an IPv6 address keeps its brackets. */
    private static String parseHost(String field) {
        int colon = field.lastIndexOf(':');
        boolean hasPort = colon >= 0 && field.indexOf(']', colon) < 0;
        return hasPort ? field.substring(0, colon) : field;
    }

    private static long parseDeadline(String value) {
        if (value == null) {
            return 0;
        }
        try {
            long milliseconds = Long.parseLong(value.strip());
            return milliseconds < 1
                    ? INVALID_DEADLINE
                    : Math.min(milliseconds, MAX_DEADLINE_MILLISECONDS);
        } catch (NumberFormatException e) {
            return INVALID_DEADLINE;
        }
    }
}
