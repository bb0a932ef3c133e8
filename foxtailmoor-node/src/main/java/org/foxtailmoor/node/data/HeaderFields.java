package org.foxtailmoor.node.data;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.http.FieldSyntax;
import org.foxtailmoor.protocol.generated.Header;

/** Header names of the product, and helpers that filter and look up headers. */
public final class HeaderFields {
    /** Remaining time for a request in milliseconds; on requests from callers and to targets. */
    public static final AsciiString DEADLINE = AsciiString.of("foxtailmoor-deadline-milliseconds");

    /** Error kind of an error answer. */
    public static final AsciiString ERROR = AsciiString.of("foxtailmoor-error");

    /** Whether a request that got an error may have run: not-run or unknown. */
    public static final AsciiString OUTCOME = AsciiString.of("foxtailmoor-outcome");

    /** Set to true on an answer that was replayed for an idempotency key. */
    public static final AsciiString REPLAYED = AsciiString.of("foxtailmoor-replayed");

    /** Identifies retries of one request by its caller; a UUIDv7. */
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.of("idempotency-key");

    /** W3C trace context. */
    public static final AsciiString TRACEPARENT = AsciiString.of("traceparent");

    private static final Set<String> HOP_BY_HOP_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    private HeaderFields() {}

    /**
     * Returns the end-to-end headers: all except hop-by-hop headers, headers listed in the {@code
     * Connection} header, the content length, and headers that the node sets itself.
     *
     * @param headers headers as received, not null
     * @param names names of the headers that the node sets, not null
     */
    public static List<Header> endToEnd(HttpHeaders headers, HeaderNames names) {
        Set<String> connectionOptions = connectionOptions(headers);
        List<Header> endToEnd = new ArrayList<>(headers.size());
        Iterator<Map.Entry<CharSequence, CharSequence>> iterator = headers.iteratorCharSequence();
        while (iterator.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = iterator.next();
            String name = field.getKey().toString().toLowerCase(Locale.ROOT);
            boolean dropped =
                    HOP_BY_HOP_HEADERS.contains(name)
                            || connectionOptions.contains(name)
                            || names.deadline().contentEqualsIgnoreCase(name)
                            || names.callerService().contentEqualsIgnoreCase(name)
                            || names.expectedInstance().contentEqualsIgnoreCase(name);
            if (!dropped) {
                endToEnd.add(of(name, field.getValue().toString()));
            }
        }
        return endToEnd;
    }

    /**
     * Returns whether the headers of another node's message can be passed on: names and values are
     * valid, and no header concerns a connection or the length of a body. The content length is
     * allowed, because the answer to a HEAD request states it.
     *
     * @param headers headers, not null
     */
    static boolean isEndToEnd(List<Header> headers) {
        for (Header header : headers) {
            String name = header.getName().toLowerCase(Locale.ROOT);
            boolean isLength = HttpHeaderNames.CONTENT_LENGTH.contentEquals(name);
            boolean valid =
                    FieldSyntax.isName(header.getName())
                            && (isLength
                                    ? FieldSyntax.isLength(header.getValue())
                                    : !HOP_BY_HOP_HEADERS.contains(name)
                                            && FieldSyntax.isValue(header.getValue()));
            if (!valid) {
                return false;
            }
        }
        return true;
    }

    /** Creates a header. */
    public static Header of(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }

    /** Returns the value of the first header with the given lower-case name, or null. */
    public static String find(List<Header> headers, CharSequence name) {
        for (Header header : headers) {
            if (header.getName().contentEquals(name)) {
                return header.getValue();
            }
        }
        return null;
    }

    /**
     * Returns the headers with the trace context replaced.
     *
     * @param headers headers, not null; not modified
     * @param traceparent trace context, or null to return the headers unchanged
     */
    public static List<Header> withTrace(List<Header> headers, String traceparent) {
        if (traceparent == null || traceparent.equals(find(headers, TRACEPARENT))) {
            return headers;
        }
        List<Header> updated = new ArrayList<>(headers.size() + 1);
        for (Header header : headers) {
            if (!TRACEPARENT.contentEquals(header.getName())) {
                updated.add(header);
            }
        }
        updated.add(of(TRACEPARENT.toString(), traceparent));
        return updated;
    }

    private static Set<String> connectionOptions(HttpHeaders headers) {
        if (!headers.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> connectionOptions = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                connectionOptions.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        return connectionOptions;
    }
}
