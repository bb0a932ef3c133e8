package org.foxtailmoor.http;

import io.netty.buffer.ByteBuf;

/** Checks the lines in the heads of responses, see RFC 9112. */
final class ResponseLines {
    private static final int STATUS_DIGITS = 3;
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final int STATUS_SWITCHING_PROTOCOLS = 101;
    private static final int DECIMAL = 10;

    /** Length of the end of each line, CRLF. */
    static final int LINE_END_BYTES = 2;

    private ResponseLines() {}

    /**
     * Returns the index of the next line end.
     *
     * @throws InvalidResponseException if the line has no end, or not CRLF
     */
    static int findLineEnd(ByteBuf buffer, int start, int end) {
        int lineFeed = buffer.indexOf(start, end, (byte) '\n');
        if (lineFeed <= start || buffer.getByte(lineFeed - 1) != '\r') {
            throw new InvalidResponseException("a line does not end with CRLF");
        }
        return lineFeed - 1;
    }

    /**
     * Checks a status line. A missing reason phrase may come with or without the space before it.
     *
     * @throws InvalidResponseException if the line is not valid
     */
    static void checkStatusLine(Line line) {
        // A later minor version is read as the highest one that is known, RFC 9110, section 6.2.
        if (!line.skip("HTTP/1.") || !Characters.DIGITS.contains(line.next()) || !line.skip(' ')) {
            throw new InvalidResponseException("the status line has no valid version");
        }
        int status = readStatus(line);
        if (status < MIN_STATUS || status > MAX_STATUS) {
            throw new InvalidResponseException("the status code is not between 100 and 599");
        }
        if (status == STATUS_SWITCHING_PROTOCOLS) {
            throw new InvalidResponseException("the protocol is changed without a request");
        }
        if (line.isAtEnd()) {
            return;
        }
        if (!line.skip(' ')) {
            throw new InvalidResponseException("the status code is not a number of three digits");
        }
        line.skipAll(Characters.TEXT);
        if (!line.isAtEnd()) {
            throw new InvalidResponseException("the reason phrase has a control byte");
        }
    }

    /**
     * Checks a field line of a head or of trailers. Folded lines, which start with a blank, are not
     * valid either.
     *
     * @throws InvalidResponseException if the line is not valid
     */
    static void checkFieldLine(Line line) {
        if (line.skipAll(Characters.TOKEN) == 0 || !line.skip(':')) {
            throw new InvalidResponseException("a field line has no valid name");
        }
        line.skipAll(Characters.TEXT);
        if (!line.isAtEnd()) {
            throw new InvalidResponseException("a field value has a control byte");
        }
    }

    private static int readStatus(Line line) {
        int status = 0;
        for (int i = 0; i < STATUS_DIGITS; i++) {
            int digit = line.next();
            if (!Characters.DIGITS.contains(digit)) {
                throw new InvalidResponseException(
                        "the status code is not a number of three digits");
            }
            status = status * DECIMAL + digit - '0';
        }
        return status;
    }
}
