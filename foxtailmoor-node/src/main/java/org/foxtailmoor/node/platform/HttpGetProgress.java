package org.foxtailmoor.node.platform;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/** Course of one GET request, for its timeouts, metrics and error messages. */
final class HttpGetProgress {
    /** How far a request has come. */
    enum State {
        NOT_CONNECTED,
        NOTHING_RECEIVED,
        PARTLY_RECEIVED
    }

    /** Content length of a response that does not announce one. */
    static final long UNKNOWN_LENGTH = -1;

    private final Ticker mTicker;
    private final long mStartNanoseconds;
    private State mState = State.NOT_CONNECTED;
    private long mConnectedNanoseconds;
    private long mFirstByteNanoseconds;
    private long mLastByteNanoseconds;
    private long mReceivedBytes;
    private long mBodyBytes;
    private long mAnnouncedBytes = UNKNOWN_LENGTH;

    /** Creates the progress of a request that starts now. */
    HttpGetProgress(Ticker ticker) {
        mTicker = ticker;
        mStartNanoseconds = ticker.nanoTime();
    }

    /** Records that the request has a connection. */
    void onConnected() {
        mState = State.NOTHING_RECEIVED;
        mConnectedNanoseconds = mTicker.nanoTime();
    }

    /** Records bytes of the response, including its head. */
    void onBytes(int bytes) {
        mLastByteNanoseconds = mTicker.nanoTime();
        if (mState == State.NOTHING_RECEIVED) {
            mState = State.PARTLY_RECEIVED;
            mFirstByteNanoseconds = mLastByteNanoseconds;
        }
        mReceivedBytes += bytes;
    }

    /**
     * Records the head of the response.
     *
     * @param announcedBytes content length, or {@link #UNKNOWN_LENGTH}
     */
    void onHead(long announcedBytes) {
        mAnnouncedBytes = announcedBytes;
    }

    /** Records a part of the body. */
    void onBody(int bytes) {
        mBodyBytes += bytes;
    }

    State state() {
        return mState;
    }

    /** Returns the bytes of the response so far, with its head. */
    long receivedBytes() {
        return mReceivedBytes;
    }

    /** Returns the bytes of the body so far. */
    long bodyBytes() {
        return mBodyBytes;
    }

    /** Returns the time of the last byte; valid once a byte was received. */
    long lastByteNanoseconds() {
        return mLastByteNanoseconds;
    }

    /** Returns the time since the start of the request. */
    long durationNanoseconds() {
        return mTicker.nanoTime() - mStartNanoseconds;
    }

    /** Returns the time from the request on its connection until the first byte of the response. */
    long firstByteNanoseconds() {
        return mFirstByteNanoseconds - mConnectedNanoseconds;
    }

    /** Returns the time from the first until the last byte of the response. */
    long transferNanoseconds() {
        return mLastByteNanoseconds - mFirstByteNanoseconds;
    }

    /** Describes the progress in words for an error message. */
    String describe() {
        StringBuilder text = new StringBuilder();
        if (mState == State.NOT_CONNECTED) {
            return text.append("not connected after ")
                    .append(milliseconds(durationNanoseconds()))
                    .append(" ms")
                    .toString();
        }
        text.append("connected after ")
                .append(milliseconds(mConnectedNanoseconds - mStartNanoseconds))
                .append(" ms, ");
        if (mState == State.NOTHING_RECEIVED) {
            return text.append("no byte received in ")
                    .append(milliseconds(mTicker.nanoTime() - mConnectedNanoseconds))
                    .append(" ms")
                    .toString();
        }
        String announced =
                mAnnouncedBytes == UNKNOWN_LENGTH ? "an unknown number of" : "" + mAnnouncedBytes;
        return text.append("first byte after ")
                .append(milliseconds(firstByteNanoseconds()))
                .append(" ms, last byte ")
                .append(milliseconds(mTicker.nanoTime() - mLastByteNanoseconds))
                .append(" ms ago, received ")
                .append(mBodyBytes)
                .append(" of ")
                .append(announced)
                .append(" body bytes")
                .toString();
    }

    private static long milliseconds(long nanoseconds) {
        return TimeUnit.NANOSECONDS.toMillis(nanoseconds);
    }
}
