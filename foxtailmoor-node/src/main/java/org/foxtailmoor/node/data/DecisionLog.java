package org.foxtailmoor.node.data;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.core.home.CrashTable;
import org.foxtailmoor.core.home.Fingerprint;
import org.foxtailmoor.core.routing.CallerAttempt;
import org.foxtailmoor.core.routing.EntryRequest;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs one line for each decision about a request, with the inputs of the decision and their
 * versions. The volume is bounded: lines above a rate limit are counted and reported. Failures have
 * their own limit, so that successes cannot use it up. Confined to the data loop.
 */
final class DecisionLog {
    private static final Logger LOGGER = LoggerFactory.getLogger("requests");

    /**
     * Limit for lines about answered requests, per second and node; normal traffic stays below it.
     */
    private static final int ANSWER_LINES_PER_SECOND = 100;

    /** Limit for lines about refusals and failures, per second and node. */
    private static final int FAILURE_LINES_PER_SECOND = 200;

    private static final double PERCENT = 100;

    private final Ticker mTicker;
    private final TokenBucket mAnswerTokens;
    private final TokenBucket mFailureTokens;
    private long mSuppressed;
    private long mLastReportNanoseconds;

    DecisionLog(Ticker ticker) {
        mTicker = ticker;
        mAnswerTokens = TokenBucket.of(ticker, ANSWER_LINES_PER_SECOND, ANSWER_LINES_PER_SECOND);
        mFailureTokens = TokenBucket.of(ticker, FAILURE_LINES_PER_SECOND, FAILURE_LINES_PER_SECOND);
        mLastReportNanoseconds = ticker.nanoTime();
    }

    /** Reports the number of suppressed lines, at most once a second. */
    void tick() {
        long now = mTicker.nanoTime();
        if (mSuppressed > 0 && now - mLastReportNanoseconds >= TimeUnit.SECONDS.toNanos(1)) {
            LOGGER.atWarn().addKeyValue("suppressed", mSuppressed).log("lines left out");
            mSuppressed = 0;
            mLastReportNanoseconds = now;
        }
    }

    /**
     * Logs a request that the entry node refused on arrival.
     *
     * @param openRequests number of open requests at the entry node at that time
     * @param loopDelayNanoseconds delay of the data loop at that time
     */
    void refused(EntryHead head, ErrorKind kind, int openRequests, long loopDelayNanoseconds) {
        if (tryAcquire(mFailureTokens)) {
            LOGGER.atInfo()
                    .addKeyValue("request", head.requestId())
                    .addKeyValue("host", head.host())
                    .addKeyValue("path", head.path())
                    .addKeyValue("openRequests", openRequests)
                    .addKeyValue(
                            "loopDelayMilliseconds",
                            TimeUnit.NANOSECONDS.toMillis(loopDelayNanoseconds))
                    .addKeyValue("outcome", kind)
                    .log("refused at entry");
        }
    }

    /** Logs a failed attempt; a successful one is covered by the line of {@link #ended}. */
    void attemptFailed(
            EntryHead head, EntryRequest request, Upstream upstream, ErrorKind kind, String cause) {
        if (tryAcquire(mFailureTokens)) {
            newEntryEvent(head, request)
                    .addKeyValue("upstream", upstream.id())
                    .addKeyValue("attempt", request.attempts())
                    .addKeyValue("outcome", kind)
                    .addKeyValue("cause", cause)
                    .log("attempt failed");
        }
    }

    /** Logs the end of a request at its entry node. */
    void ended(
            EntryHead head,
            EntryRequest request,
            Upstream upstream,
            int status,
            ErrorKind kind,
            long durationNanoseconds) {
        if (tryAcquire(kind == null ? mAnswerTokens : mFailureTokens)) {
            newEntryEvent(head, request)
                    .addKeyValue("upstream", upstream == null ? "" : upstream.id())
                    .addKeyValue("attempts", request.attempts())
                    .addKeyValue("callerDeadlineMilliseconds", head.deadlineMilliseconds())
                    .addKeyValue("waitedMilliseconds", millisecondsSinceFirstAttempt(request))
                    .addKeyValue("status", status)
                    .addKeyValue("outcome", kind == null ? "ANSWERED" : kind)
                    .addKeyValue("milliseconds", TimeUnit.NANOSECONDS.toMillis(durationNanoseconds))
                    .log("request ended");
        }
    }

    /**
     * Logs a request that was read and whose connection ends without a complete answer.
     *
     * @param requestId id of the caller's attempt, empty if absent
     * @param reason what ended the connection or kept the answer from the caller
     */
    void closedUnanswered(String requestId, String reason) {
        if (tryAcquire(mFailureTokens)) {
            LOGGER.atWarn()
                    .addKeyValue("request", requestId)
                    .addKeyValue("cause", reason)
                    .log("closed without an answer");
        }
    }

    /** Logs a request that the home node refused or that failed at the target. */
    void homeFailed(
            RequestStart start, HeaderNames names, Load load, ErrorKind kind, String cause) {
        if (tryAcquire(mFailureTokens)) {
            String id = HeaderFields.find(start.getHeadersList(), names.requestId());
            LOGGER.atInfo()
                    .addKeyValue("request", id == null ? "" : id)
                    .addKeyValue("route", start.getRouteId())
                    .addKeyValue("instance", start.getInstanceId())
                    .addKeyValue("running", load.getRunning())
                    .addKeyValue("queued", load.getQueued())
                    .addKeyValue("slots", load.getSlots())
                    .addKeyValue("meanMicroseconds", load.getServiceTimeMicroseconds())
                    .addKeyValue("workTimePercent", load.getWorkTimePercent())
                    .addKeyValue("deadlineMilliseconds", start.getDeadlineMilliseconds())
                    .addKeyValue("outcome", kind)
                    .addKeyValue("cause", cause)
                    .log("not answered at home");
        }
    }

    /**
     * Logs a request that was in flight when the target crashed.
     *
     * @param fingerprint fingerprint of the request
     * @param inFlight number of requests that were in flight
     */
    void crashed(RequestStart start, HeaderNames names, Fingerprint fingerprint, int inFlight) {
        if (tryAcquire(mFailureTokens)) {
            String id = HeaderFields.find(start.getHeadersList(), names.requestId());
            LOGGER.atWarn()
                    .addKeyValue("request", id == null ? "" : id)
                    .addKeyValue("route", start.getRouteId())
                    .addKeyValue("instance", start.getInstanceId())
                    .addKeyValue("fingerprint", fingerprint.toHex())
                    .addKeyValue("inFlight", inFlight)
                    .log("in flight at a crash of the target");
        }
    }

    /** Logs a change of what is known about requests with one fingerprint. */
    void crashStatusChanged(CrashTable.StatusChange change) {
        if (tryAcquire(mFailureTokens)) {
            LOGGER.atWarn()
                    .addKeyValue("fingerprint", change.fingerprint().toHex())
                    .addKeyValue("before", change.before())
                    .addKeyValue("status", change.after())
                    .addKeyValue("crashes", change.crashes())
                    .addKeyValue("reporters", String.join(" ", change.reporters()))
                    .log("crash status changed");
        }
    }

    /** Logs that a kind of request is limited because calls of its runs fail. */
    void callLimitCut(String kind, int limit, int slots, double failedShare) {
        if (tryAcquire(mFailureTokens)) {
            LOGGER.atWarn()
                    .addKeyValue("route", kind)
                    .addKeyValue("limit", limit)
                    .addKeyValue("slots", slots)
                    .addKeyValue("failedPercent", Math.round(failedShare * PERCENT))
                    .log("fewer requests admitted, their calls fail");
        }
    }

    /** Returns the time since the caller's first attempt, from which lateness is measured. */
    private long millisecondsSinceFirstAttempt(EntryRequest request) {
        CallerAttempt attempt = request.callerAttempt();
        return attempt == null
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - attempt.firstNanoseconds());
    }

    private static LoggingEventBuilder newEntryEvent(EntryHead head, EntryRequest request) {
        return LOGGER.atInfo()
                .addKeyValue("request", head.requestId())
                .addKeyValue("route", request.route().id())
                .addKeyValue("service", request.serviceId())
                .addKeyValue(
                        "catalogue",
                        Long.toUnsignedString(request.snapshot().catalogueVersion().getNumber()))
                .addKeyValue(
                        "instances",
                        Long.toUnsignedString(request.snapshot().instancesVersion().getNumber()));
    }

    private boolean tryAcquire(TokenBucket bucket) {
        boolean allowed = bucket.tryTake(1);
        mSuppressed += allowed ? 0 : 1;
        return allowed;
    }
}
