package org.foxtailmoor.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Follows the responses of one connection and checks the bytes of each step of their decoder. A
 * step consumes whole lines of a head or a part of a body.
 */
final class ResponseSyntax {
    private enum Part {
        STATUS_LINE,
        FIELD_LINES,
        BODY
    }

    private Part mPart = Part.STATUS_LINE;
    private boolean mBodyEndedByConnection;

    /**
     * Checks one step.
     *
     * @param buffer buffer whose indexes are not changed
     * @param start index of the first byte that the decoder has consumed
     * @param end index behind the last byte that the decoder has consumed
     * @param messages messages that the decoder has emitted for these bytes
     * @throws InvalidResponseException if the bytes are not valid
     */
    void check(ByteBuf buffer, int start, int end, List<Object> messages) {
        int position = start;
        while (mPart != Part.BODY && position < end) {
            int lineEnd = buffer.indexOf(position, end, (byte) '\n');
            if (lineEnd <= position || buffer.getByte(lineEnd - 1) != '\r') {
                throw new InvalidResponseException("a line does not end with CRLF");
            }
            checkLine(new Line(buffer, position, lineEnd - 1));
            position = lineEnd + 1;
        }
        for (Object message : messages) {
            if (message instanceof HttpResponse response) {
                mBodyEndedByConnection =
                        !HttpUtil.isTransferEncodingChunked(response)
                                && !HttpUtil.isContentLengthSet(response);
            }
            if (message instanceof LastHttpContent) {
                mPart = Part.STATUS_LINE;
                mBodyEndedByConnection = false;
            }
        }
    }

    /** Returns whether the response whose body is being received ends with the connection. */
    boolean isBodyEndedByConnection() {
        return mBodyEndedByConnection;
    }

    private void checkLine(Line line) {
        if (mPart == Part.STATUS_LINE) {
            ResponseLines.checkStatusLine(line);
            mPart = Part.FIELD_LINES;
        } else if (line.isAtEnd()) {
            mPart = Part.BODY;
        } else {
            ResponseLines.checkFieldLine(line);
        }
    }
}
