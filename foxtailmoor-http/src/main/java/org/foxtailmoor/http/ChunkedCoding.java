package org.foxtailmoor.http;

import io.netty.buffer.ByteBuf;

/** Checks a chunked body whose bytes come in parts, see RFC 9112, section 7.1. */
final class ChunkedCoding {
    /** What is expected next. Lines come whole, the bytes of a chunk in any parts. */
    private enum Part {
        SIZE_LINE,
        DATA,
        DATA_END,
        TRAILER_LINES,
        END
    }

    private static final int HEXADECIMAL = 16;

    /** Larger chunks cannot be counted; no reader accepts a body of this size. */
    private static final long MAX_CHUNK_BYTES = Integer.MAX_VALUE;

    private Part mPart = Part.SIZE_LINE;
    private long mRemainingBytes;

    /** Returns whether the last byte of the body has been checked. */
    boolean isAtEnd() {
        return mPart == Part.END;
    }

    /**
     * Checks a part of the body.
     *
     * @param buffer buffer whose indexes are not changed
     * @param start index of the first byte of the part
     * @param end index behind the last byte of the part
     * @throws InvalidResponseException if the part is not valid, or longer than the body
     */
    void check(ByteBuf buffer, int start, int end) {
        int position = start;
        while (position < end) {
            switch (mPart) {
                case DATA -> {
                    int bytes = (int) Math.min(mRemainingBytes, end - position);
                    mRemainingBytes -= bytes;
                    position += bytes;
                    mPart = mRemainingBytes == 0 ? Part.DATA_END : Part.DATA;
                }
                case END -> throw new InvalidResponseException("bytes follow the last chunk");
                default -> {
                    int lineEnd = ResponseLines.findLineEnd(buffer, position, end);
                    checkLine(new Line(buffer, position, lineEnd));
                    position = lineEnd + ResponseLines.LINE_END_BYTES;
                }
            }
        }
    }

    private void checkLine(Line line) {
        switch (mPart) {
            case SIZE_LINE -> {
                mRemainingBytes = readSize(line);
                checkExtensions(line);
                mPart = mRemainingBytes == 0 ? Part.TRAILER_LINES : Part.DATA;
            }
            case DATA_END -> {
                if (!line.isAtEnd()) {
                    throw new InvalidResponseException("a chunk is longer than its size");
                }
                mPart = Part.SIZE_LINE;
            }
            default -> {
                if (line.isAtEnd()) {
                    mPart = Part.END;
                } else {
                    ResponseLines.checkFieldLine(line);
                }
            }
        }
    }

    private static long readSize(Line line) {
        long size = 0;
        int digits = 0;
        while (Character.digit(line.peek(), HEXADECIMAL) >= 0) {
            size = size * HEXADECIMAL + Character.digit(line.next(), HEXADECIMAL);
            digits++;
            if (size > MAX_CHUNK_BYTES) {
                throw new InvalidResponseException("a chunk is too large");
            }
        }
        if (digits == 0) {
            throw new InvalidResponseException("a chunk size is not a hexadecimal number");
        }
        return size;
    }

    /** Checks names with optional values, each behind a semicolon. */
    private static void checkExtensions(Line line) {
        while (!line.isAtEnd()) {
            skipBlanks(line);
            boolean valid = line.skip(';');
            skipBlanks(line);
            valid &= line.skipAll(Characters.TOKEN) > 0;
            int blanks = skipBlanks(line);
            if (line.skip('=')) {
                skipBlanks(line);
                valid &= line.skipAll(Characters.TOKEN) > 0 || skipQuotedString(line);
            } else {
                // Blanks are allowed only before the next extension.
                valid &= blanks == 0 || !line.isAtEnd();
            }
            if (!valid) {
                throw new InvalidResponseException("a chunk size or its extension is not valid");
            }
        }
    }

    private static int skipBlanks(Line line) {
        return line.skipAll(Characters.BLANKS);
    }

    /** Moves behind a quoted string if one comes next; returns whether it does. */
    private static boolean skipQuotedString(Line line) {
        if (!line.skip('"')) {
            return false;
        }
        while (!line.isAtEnd()) {
            int next = line.next();
            if (next == '"') {
                return true;
            }
            if (!Characters.TEXT.contains(next == '\\' ? line.next() : next)) {
                return false;
            }
        }
        return false;
    }
}
