package org.foxtailmoor.base;

/**
 * Lists every kind of error that foxtailmoor reports, with its HTTP status or exit code.
 *
 * <p>Request kinds map to an HTTP status and say whether the request is known not to have run.
 * Program kinds map to the exit code of a command-line program.
 */
public enum ErrorKind {
    /** The request is malformed. */
    BAD_REQUEST(400, Execution.NOT_RUN, false),
    /** The route requires an idempotency key and the request has none. */
    KEY_REQUIRED(400, Execution.NOT_RUN, false),
    /** The idempotency key is not a UUIDv7, or its time lies in the future. */
    KEY_INVALID(400, Execution.NOT_RUN, false),
    /** No route of the catalogue matches the request. */
    NO_ROUTE(404, Execution.NOT_RUN, false),
    /** The request body exceeds the limit of its route. */
    BODY_TOO_LARGE(413, Execution.NOT_RUN, false),
    /** The request has crashed its target too often and is quarantined. */
    POISONED(422, Execution.NOT_RUN, false),
    /** The request has crashed several targets and is refused until its crashes expire. */
    QUARANTINED(503, Execution.NOT_RUN, false),
    /** The rate limit of the route is exhausted. */
    RATE_LIMITED(429, Execution.NOT_RUN, false),
    /** The node has not finished starting. */
    NOT_READY(503, Execution.NOT_RUN, true),
    /** The slots and the queue of the upstream, or the node's body memory, are full. */
    OVERLOADED(503, Execution.NOT_RUN, true),
    /** The upstream is leaving and accepts no new requests. */
    LEAVING(503, Execution.NOT_RUN, true),
    /** No live upstream of the service is reachable. */
    NO_UPSTREAM(503, Execution.NOT_RUN, true),
    /** The home of the idempotency key is unreachable or may not run the key now. */
    HOME_UNAVAILABLE(503, Execution.NOT_RUN, true),
    /** The deadline passed, or was certain to pass, before the request ran. */
    DEADLINE_BEFORE_RUN(503, Execution.NOT_RUN, false),
    /** The target stated that it did not run the request. */
    UPSTREAM_REJECTED(503, Execution.NOT_RUN, true),
    /** The deadline passed after the request was handed to the target. */
    DEADLINE_EXCEEDED(504, Execution.UNKNOWN, false),
    /** The target or the connection to it failed after the request was handed over. */
    UPSTREAM_FAILED(502, Execution.UNKNOWN, false),
    /** It is not known whether an earlier attempt with the same idempotency key ran. */
    OUTCOME_UNKNOWN(409, Execution.UNKNOWN, false),
    /** A request with the idempotency key has already run and its response is not stored. */
    ALREADY_RUN(409, Execution.UNKNOWN, false),
    /** The caller cancelled the request. */
    CANCELLED(499, Execution.UNKNOWN, false),
    /** Internal error of foxtailmoor. */
    INTERNAL(500, Execution.UNKNOWN, false),

    /** The command line of a program is invalid. */
    USAGE(2),
    /** The settings of a program are invalid. */
    SETTINGS_INVALID(3),
    /** The catalogue is invalid. */
    CATALOGUE_INVALID(4),
    /** A listening address is in use. */
    ADDRESS_IN_USE(5),
    /** The platform or a node does not respond. */
    PLATFORM_UNAVAILABLE(6),
    /** The platform has discarded the history that was asked for. */
    PLATFORM_HISTORY_LOST(6),
    /** Nodes disagree for longer than the limit. */
    DISAGREEMENT(7);

    /** States what is known about the execution of a request that was answered with an error. */
    public enum Execution {
        /** No byte of the request has reached the target. */
        NOT_RUN,
        /** The request may have run. */
        UNKNOWN,
        /** The error does not concern a request. */
        NOT_APPLICABLE
    }

    private static final int EXIT_CODE_FAILURE = 1;

    private final int mStatus;
    private final Execution mExecution;
    private final boolean mRetryElsewhere;
    private final int mExitCode;

    ErrorKind(int status, Execution execution, boolean retryElsewhere) {
        mStatus = status;
        mExecution = execution;
        mRetryElsewhere = retryElsewhere;
        mExitCode = EXIT_CODE_FAILURE;
    }

    ErrorKind(int exitCode) {
        mStatus = 500;
        mExecution = Execution.NOT_APPLICABLE;
        mRetryElsewhere = false;
        mExitCode = exitCode;
    }

    /** Returns the HTTP status of an answer with this error. */
    public int status() {
        return mStatus;
    }

    /** Returns whether the request is known not to have run. */
    public boolean isNotRun() {
        return mExecution == Execution.NOT_RUN;
    }

    /** Returns whether another upstream may accept the request at once. */
    public boolean isRetryableElsewhere() {
        return mRetryElsewhere;
    }

    /** Returns what is known about the execution of the request. */
    public Execution execution() {
        return mExecution;
    }

    /** Returns the exit code of a program that ends with this error, at least 1. */
    public int exitCode() {
        return mExitCode;
    }

    /**
     * Returns the kind with a name, or {@link #INTERNAL} for an unknown name.
     *
     * @param name name of a kind, as received from another node; null counts as unknown
     */
    public static ErrorKind of(String name) {
        for (ErrorKind kind : values()) {
            if (kind.name().equals(name)) {
                return kind;
            }
        }
        return INTERNAL;
    }
}
