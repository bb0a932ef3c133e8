package org.foxtailmoor.node.data;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.util.concurrent.Ticker;
import java.util.List;
import org.foxtailmoor.core.admission.TargetLoad;
import org.foxtailmoor.core.home.HomeDecisions;
import org.foxtailmoor.core.home.TargetHealth;
import org.foxtailmoor.protocol.generated.Header;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends the health checks of the target that the home decides on, and reports their answers. */
final class HealthChecks {
    private static final Logger LOGGER = LoggerFactory.getLogger(HealthChecks.class);

    private final TargetClient mTarget;
    private final Ticker mTicker;
    private final HeaderNames mHeaders;
    private final DataMetrics mMetrics;
    private long mSent;
    private boolean mLoggedCold;
    private boolean mLoggedFailing;

    HealthChecks(TargetClient target, Ticker ticker, HeaderNames headers, DataMetrics metrics) {
        mTarget = target;
        mTicker = ticker;
        mHeaders = headers;
        mMetrics = metrics;
    }

    /** Sends a health check if one is due. */
    void sendIfDue(HomeDecisions decisions) {
        TargetHealth health = decisions.targetHealth();
        String path = health == null ? null : health.startCheckIfDue();
        if (path == null) {
            return;
        }
        if (mHeaders.warmUp().isEmpty()) {
            // Without this header, no answer can state that the target is cold.
            health.onCheckFailed();
            return;
        }
        mMetrics.healthChecks().inc();
        mSent++;
        mTarget.send(
                new TargetRequest(
                        HttpMethod.GET.name(),
                        path,
                        headers(),
                        "",
                        BufferedBody.empty(),
                        mTicker.nanoTime() + TargetHealth.CHECK_TIMEOUT_NANOSECONDS,
                        true,
                        true),
                new Listener(decisions, health));
    }

    /** Logs when the target has turned cold or warm, or when its health checks fail. */
    void logChanges(HomeDecisions decisions) {
        TargetHealth health = decisions.targetHealth();
        if (health == null) {
            return;
        }
        if (health.isCold() != mLoggedCold) {
            mLoggedCold = health.isCold();
            LOGGER.info("the target at {} is {}", mTarget.address(), mLoggedCold ? "cold" : "warm");
        }
        if (health.isCheckFailing() != mLoggedFailing) {
            mLoggedFailing = health.isCheckFailing();
            LOGGER.info(
                    "the target at {} {}",
                    mTarget.address(),
                    mLoggedFailing
                            ? "does not answer its health check"
                            : "answers its health check again");
        }
    }

    /** The id distinguishes the answer from a late duplicate of an answer to another request. */
    private List<Header> headers() {
        return List.of(
                HeaderFields.of(
                        HttpHeaderNames.HOST.toString(),
                        mTarget.address().getHostString() + ":" + mTarget.address().getPort()),
                HeaderFields.of(mHeaders.requestId().toString(), "health-check-" + mSent));
    }

    /** Receives the outcome of one check. */
    private final class Listener implements TargetListener {
        private final HomeDecisions mDecisions;
        private final TargetHealth mHealth;

        Listener(HomeDecisions decisions, TargetHealth health) {
            mDecisions = decisions;
            mHealth = health;
        }

        @Override
        public boolean confirmSend() {
            return true;
        }

        @Override
        public void onAnswer(Outcome.Answer answer) {
            List<Header> headers = answer.headers();
            answer.release();
            mHealth.onCheckAnswered(
                    HeaderFields.find(headers, mHeaders.targetInstance()),
                    HeaderFields.find(headers, mHeaders.warmUp()));
            TargetLoad load = TargetLoad.parse(HeaderFields.find(headers, mHeaders.targetLoad()));
            if (load != null) {
                mDecisions.onTargetLoad(load);
            }
            onEnded();
        }

        @Override
        public void onFailure(Outcome.Failure failure, boolean crashed) {
            mHealth.onCheckFailed();
            onEnded();
        }

        private void onEnded() {
            logChanges(mDecisions);
            // Requests that wait for the answer start or are refused now.
            mDecisions.tick();
        }
    }
}
