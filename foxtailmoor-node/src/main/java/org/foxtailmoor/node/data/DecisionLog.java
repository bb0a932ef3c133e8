package org.foxtailmoor.node.data;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.core.routing.CallerAttempt;
import org.foxtailmoor.core.routing.EntryRequest;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.Load;
import org.foxtailmoor.protocol.generated.RequestStart;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes one line for each decision about a request, with what decided it and how old that was.
 * Bounded: lines above a rate are counted and reported, failures with a rate of their own so that
 * successes can't crowd them out. Belongs to the data loop.
 */
final class DecisionLog {
    private static final Logger LOGGER = LoggerFactory.getLogger("requests");

    /** Lines about answered requests a second and node; a usual day stays below. */
    private static final int ANSWERS_PER_SECOND = 100;

    /** Lines about refusals and failures a second and node. */
    private static final int FAILURES_PER_SECOND = 200;

    private final Ticker mTicker;
    private final TokenBucket mAnswers;
    private final TokenBucket mFailures;
    private long mSuppressed;
    private long mReportedNanoseconds;

    DecisionLog(Ticker ticker) {
        mTicker = ticker;
        mAnswers = TokenBucket.of(ticker, ANSWERS_PER_SECOND, ANSWERS_PER_SECOND);
        mFailures = TokenBucket.of(ticker, FAILURES_PER_SECOND, FAILURES_PER_SECOND);
        mReportedNanoseconds = ticker.nanoTime();
    }

    /** Reports how many lines were left out, at most once a second. */
    void tick() {
        long now = mTicker.nanoTime();
        if (mSuppressed > 0 && now - mReportedNanoseconds >= TimeUnit.SECONDS.toNanos(1)) {
            LOGGER.atWarn().addKeyValue("suppressed", mSuppressed).log("lines left out");
            mSuppressed = 0;
            mReportedNanoseconds = now;
        }
    }

    /**
     * Logs a request that the entry did not route.
     *
     * @param openRequests requests that were open at the entry then
     * @param loopDelayNanoseconds how far the data loop was behind then
     */
    void refused(EntryHead head, ErrorKind kind, int openRequests, long loopDelayNanoseconds) {
        if (allows(mFailures)) {
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

    /** Logs where an attempt of a request goes; part of the line about its end unless it fails. */
    void attemptFailed(
            EntryHead head, EntryRequest request, Upstream upstream, ErrorKind kind, String cause) {
        if (allows(mFailures)) {
            entry(head, request)
                    .addKeyValue("upstream", upstream.id())
                    .addKeyValue("attempt", request.attempts())
                    .addKeyValue("outcome", kind)
                    .addKeyValue("cause", cause)
                    .log("attempt failed");
        }
    }

    /** Logs the end of a request at its entry. */
    void ended(
            EntryHead head,
            EntryRequest request,
            Upstream upstream,
            int status,
            ErrorKind kind,
            long durationNanoseconds) {
        if (allows(kind == null ? mAnswers : mFailures)) {
            entry(head, request)
                    .addKeyValue("upstream", upstream == null ? "" : upstream.id())
                    .addKeyValue("attempts", request.attempts())
                    .addKeyValue("callerDeadlineMilliseconds", head.deadlineMilliseconds())
                    .addKeyValue("waitedMilliseconds", waitedMilliseconds(request))
                    .addKeyValue("status", status)
                    .addKeyValue("outcome", kind == null ? "ANSWERED" : kind)
                    .addKeyValue("milliseconds", TimeUnit.NANOSECONDS.toMillis(durationNanoseconds))
                    .log("request ended");
        }
    }

    /** Logs a request that the home refused or that failed at the target. */
    void homeFailed(
            RequestStart start, HeaderNames names, Load load, ErrorKind kind, String cause) {
        if (allows(mFailures)) {
            String id = HeaderFields.find(start.getHeadersList(), names.requestId());
            LOGGER.atInfo()
                    .addKeyValue("request", id == null ? "" : id)
                    .addKeyValue("route", start.getRouteId())
                    .addKeyValue("instance", start.getInstanceId())
                    .addKeyValue("running", load.getRunning())
                    .addKeyValue("queued", load.getQueued())
                    .addKeyValue("slots", load.getSlots())
                    .addKeyValue("meanMicroseconds", load.getServiceTimeMicroseconds())
                    .addKeyValue("deadlineMilliseconds", start.getDeadlineMilliseconds())
                    .addKeyValue("outcome", kind)
                    .addKeyValue("cause", cause)
                    .log("not answered at home");
        }
    }

    /** Returns the time since the caller's first attempt, which decides what is late. */
    private long waitedMilliseconds(EntryRequest request) {
        CallerAttempt attempt = request.callerAttempt();
        return attempt == null
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(mTicker.nanoTime() - attempt.firstNanoseconds());
    }

    private static LoggingEventBuilder entry(EntryHead head, EntryRequest request) {
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

    private boolean allows(TokenBucket bucket) {
        boolean allowed = bucket.tryTake(1);
        mSuppressed += allowed ? 0 : 1;
        return allowed;
    }
}
