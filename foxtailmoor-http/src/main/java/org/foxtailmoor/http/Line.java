package org.foxtailmoor.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** One line of a response without its line end, read from left to right. */
final class Line {
    private static final int END = -1;

    private final ByteBuf mBuffer;
    private final int mEnd;
    private int mPosition;

    /**
     * Creates a line.
     *
     * @param buffer buffer whose indexes are not changed
     * @param start index of the first byte
     * @param end index behind the last byte
     */
    Line(ByteBuf buffer, int start, int end) {
        mBuffer = buffer;
        mPosition = start;
        mEnd = end;
    }

    boolean isAtEnd() {
        return mPosition == mEnd;
    }

    /** Returns the next byte as an unsigned number, or -1 at the end. */
    int peek() {
        return isAtEnd() ? END : mBuffer.getUnsignedByte(mPosition);
    }

    /** Returns the next byte like {@link #peek} and moves behind it. */
    int next() {
        int next = peek();
        if (next != END) {
            mPosition++;
        }
        return next;
    }

    /** Moves behind the next byte if it is the given one; returns whether it is. */
    boolean skip(char expected) {
        boolean found = peek() == expected;
        if (found) {
            mPosition++;
        }
        return found;
    }

    /** Moves behind a text if it comes next; returns whether it does. */
    boolean skip(String expected) {
        byte[] bytes = expected.getBytes(StandardCharsets.US_ASCII);
        if (mEnd - mPosition < bytes.length) {
            return false;
        }
        for (int i = 0; i < bytes.length; i++) {
            if (mBuffer.getByte(mPosition + i) != bytes[i]) {
                return false;
            }
        }
        mPosition += bytes.length;
        return true;
    }

    /** Returns whether a lower-case ASCII text comes next, in any case. */
    boolean startsWith(String lowerCase) {
        if (mEnd - mPosition < lowerCase.length()) {
            return false;
        }
        for (int i = 0; i < lowerCase.length(); i++) {
            if (Character.toLowerCase(mBuffer.getByte(mPosition + i)) != lowerCase.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    /** Returns the text behind the first colon without the blanks around it. */
    String fieldValue() {
        String text = mBuffer.toString(mPosition, mEnd - mPosition, StandardCharsets.ISO_8859_1);
        return text.substring(text.indexOf(':') + 1).strip();
    }

    /** Moves behind all next bytes of a class; returns their number. */
    int skipAll(Characters characters) {
        int start = mPosition;
        while (!isAtEnd() && characters.contains(peek())) {
            mPosition++;
        }
        return mPosition - start;
    }
}
