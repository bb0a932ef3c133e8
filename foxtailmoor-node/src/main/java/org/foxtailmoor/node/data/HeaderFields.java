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
import org.foxtailmoor.protocol.generated.Header;

/** Names of foxtailmoor's own headers, and the selection of headers that pass a hop. */
public final class HeaderFields {
    /** Time left for a request, in milliseconds, on requests from callers and to targets. */
    public static final AsciiString DEADLINE = AsciiString.of("foxtailmoor-deadline-milliseconds");

    /** Error kind of an error answer. */
    public static final AsciiString ERROR = AsciiString.of("foxtailmoor-error");

    /** What is known about the execution of a request that got an error: not-run or unknown. */
    public static final AsciiString OUTCOME = AsciiString.of("foxtailmoor-outcome");

    /** Present with the value true on an answer that the home of an idempotency key remembered. */
    public static final AsciiString REPLAYED = AsciiString.of("foxtailmoor-replayed");

    /** Identifies repeats of one request by its caller; a UUIDv7. */
    public static final AsciiString IDEMPOTENCY_KEY = AsciiString.of("idempotency-key");

    /** W3C trace context. */
    public static final AsciiString TRACEPARENT = AsciiString.of("traceparent");

    private static final Set<String> CONNECTION_HEADERS =
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
     * Returns the headers that concern the message itself: all but those of the connection, those
     * that the {@code Connection} header names, the length, and those that the node sets itself.
     *
     * @param headers headers as received, not null
     * @param names names of the headers that the node sets, not null
     */
    public static List<Header> endToEnd(HttpHeaders headers, HeaderNames names) {
        Set<String> named = namedByConnection(headers);
        List<Header> kept = new ArrayList<>(headers.size());
        Iterator<Map.Entry<CharSequence, CharSequence>> iterator = headers.iteratorCharSequence();
        while (iterator.hasNext()) {
            Map.Entry<CharSequence, CharSequence> field = iterator.next();
            String name = field.getKey().toString().toLowerCase(Locale.ROOT);
            boolean dropped =
                    CONNECTION_HEADERS.contains(name)
                            || named.contains(name)
                            || names.deadline().contentEqualsIgnoreCase(name)
                            || names.callerService().contentEqualsIgnoreCase(name)
                            || names.expectedInstance().contentEqualsIgnoreCase(name);
            if (!dropped) {
                kept.add(of(name, field.getValue().toString()));
            }
        }
        return kept;
    }

    /** Returns one header. */
    public static Header of(String name, String value) {
        return Header.newBuilder().setName(name).setValue(value).build();
    }

    /** Returns the value of the first header with a lower-case name, or null if there is none. */
    public static String find(List<Header> headers, CharSequence name) {
        for (Header header : headers) {
            if (header.getName().contentEquals(name)) {
                return header.getValue();
            }
        }
        return null;
    }

    /**
     * Returns headers with another trace context.
     *
     * @param headers headers, not null and not changed
     * @param traceparent trace context, or null to leave the headers as they are
     */
    public static List<Header> withTrace(List<Header> headers, String traceparent) {
        if (traceparent == null || traceparent.equals(find(headers, TRACEPARENT))) {
            return headers;
        }
        List<Header> changed = new ArrayList<>(headers.size() + 1);
        for (Header header : headers) {
            if (!TRACEPARENT.contentEquals(header.getName())) {
                changed.add(header);
            }
        }
        changed.add(of(TRACEPARENT.toString(), traceparent));
        return changed;
    }

    private static Set<String> namedByConnection(HttpHeaders headers) {
        if (!headers.contains(HttpHeaderNames.CONNECTION)) {
            return Set.of();
        }
        Set<String> named = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                named.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        return named;
    }
}
