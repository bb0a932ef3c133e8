package org.foxtailmoor.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/** Checks the fields of a head that determine the length of its body, see RFC 9112, section 6. */
final class BodyLength {
    private BodyLength() {}

    /**
     * Checks a head.
     *
     * @param head head as decoded
     * @param lengths values of the Content-Length fields as received
     * @param codings values of the Transfer-Encoding fields as received
     * @throws InvalidResponseException if the length of the body is not defined without doubt
     */
    static void check(HttpResponse head, List<String> lengths, List<String> codings) {
        if (!lengths.isEmpty() && !codings.isEmpty()) {
            throw twoLengths();
        }
        if (!codings.isEmpty()) {
            checkCodings(head, codings);
        }
        if (!lengths.isEmpty()) {
            checkLengths(head, lengths);
        }
    }

    /** Returns the exception for a head with a length and a transfer coding. */
    static InvalidResponseException twoLengths() {
        return new InvalidResponseException("the head has a length and a transfer coding");
    }

    private static void checkCodings(HttpResponse head, List<String> codings) {
        if (head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) < 0) {
            throw new InvalidResponseException("the version does not allow a transfer coding");
        }
        if (isInterim(head) || head.status().code() == HttpResponseStatus.NO_CONTENT.code()) {
            throw new InvalidResponseException("the status does not allow a transfer coding");
        }
        // Other codings change the body, and no request accepts them.
        if (codings.size() > 1 || !codings.get(0).equalsIgnoreCase("chunked")) {
            throw new InvalidResponseException("the transfer coding is not chunked");
        }
    }

    private static void checkLengths(HttpResponse head, List<String> lengths) {
        String length = lengths.get(0);
        if (lengths.size() > 1 || length.isEmpty() || !Characters.DIGITS.containsAll(length)) {
            throw new InvalidResponseException("the content length is not one number");
        }
        boolean bodiless = isInterim(head) || hasNoContent(head);
        if (bodiless && !length.replace("0", "").isEmpty()) {
            throw new InvalidResponseException("the status does not allow a body");
        }
    }

    /** Returns whether the status itself says that the body is empty. */
    static boolean hasNoContent(HttpResponse head) {
        int status = head.status().code();
        return status == HttpResponseStatus.NO_CONTENT.code()
                || status == HttpResponseStatus.RESET_CONTENT.code();
    }

    private static boolean isInterim(HttpResponse head) {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
}
