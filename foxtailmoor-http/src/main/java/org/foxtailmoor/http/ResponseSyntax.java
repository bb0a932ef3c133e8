package org.foxtailmoor.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
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

    private final List<String> mLengths = new ArrayList<>(1);
    private final List<String> mCodings = new ArrayList<>(1);
    private Part mPart = Part.STATUS_LINE;
    private boolean mBodyEndedByConnection;
    private boolean mNoContent;
    private ChunkedCoding mChunkedBody;

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
            int lineEnd = ResponseLines.findLineEnd(buffer, position, end);
            checkLine(new Line(buffer, position, lineEnd));
            position = lineEnd + ResponseLines.LINE_END_BYTES;
        }
        if (mChunkedBody != null) {
            mChunkedBody.check(buffer, position, end);
        }
        for (Object message : messages) {
            if (message instanceof HttpResponse head) {
                onHead(head);
            }
            if (message instanceof HttpContent content) {
                onContent(content);
            }
        }
    }

    /** Returns whether the response whose body is being received ends with the connection. */
    boolean isBodyEndedByConnection() {
        return mBodyEndedByConnection;
    }

    private void onHead(HttpResponse head) {
        BodyLength.check(head, mLengths, mCodings);
        mLengths.clear();
        mCodings.clear();
        mBodyEndedByConnection =
                !HttpUtil.isTransferEncodingChunked(head) && !HttpUtil.isContentLengthSet(head);
        mNoContent = BodyLength.hasNoContent(head);
        mChunkedBody = HttpUtil.isTransferEncodingChunked(head) ? new ChunkedCoding() : null;
    }

    private void onContent(HttpContent content) {
        if (mNoContent && content.content().isReadable()) {
            throw new InvalidResponseException("the status does not allow a body");
        }
        if (content instanceof LastHttpContent) {
            if (mChunkedBody != null && !mChunkedBody.isAtEnd()) {
                throw new InvalidResponseException("a chunked body ends early");
            }
            mChunkedBody = null;
            mPart = Part.STATUS_LINE;
            mBodyEndedByConnection = false;
        }
    }

    /** Notes the fields that determine the length of a body; Netty removes some of them. */
    private void noteLengthField(Line line) {
        if (line.startsWith("content-length:")) {
            mLengths.add(line.fieldValue());
        } else if (line.startsWith("transfer-encoding:")) {
            mCodings.add(line.fieldValue());
        }
    }

    private void checkLine(Line line) {
        if (mPart == Part.STATUS_LINE) {
            ResponseLines.checkStatusLine(line);
            mPart = Part.FIELD_LINES;
        } else if (line.isAtEnd()) {
            mPart = Part.BODY;
        } else {
            noteLengthField(line);
            ResponseLines.checkFieldLine(line);
        }
    }
}
