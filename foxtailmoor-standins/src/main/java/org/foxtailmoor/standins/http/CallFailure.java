package org.foxtailmoor.standins.http;

import java.io.IOException;

/** Says why an {@link HttpCaller} has no whole answer to a call. */
public final class CallFailure extends IOException {
    private static final long serialVersionUID = 1L;

    /** Reasons for the lack of an answer. */
    public enum Reason {
        /** No connection could be opened, or too many were open. */
        NOT_CONNECTED,
        /** The connection closed before the first byte of the answer. */
        CLOSED,
        /** The connection closed within the answer. */
        TRUNCATED,
        /** The time of the call ended. */
        TIMEOUT
    }

    private final Reason mReason;

    CallFailure(Reason reason, OutgoingCall call, Throwable cause) {
        super(reason + ": " + call.method() + " " + call.uri() + " at " + call.address(), cause);
        mReason = reason;
    }

    /** Returns the reason, never null. */
    public Reason reason() {
        return mReason;
    }
}
