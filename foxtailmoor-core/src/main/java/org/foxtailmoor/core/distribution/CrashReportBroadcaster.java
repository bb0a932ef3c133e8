package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Distributes crash counts among the nodes of a service. A new count is sent to each node at once
 * and repeated in adverts for some seconds. Nodes that join later get it in the first adverts sent
 * to them.
 */
final class CrashReportBroadcaster {
    /** Maximum number of nodes that a report is sent to directly. */
    static final int MAX_DIRECT_RECIPIENTS = 64;

    private static final long REPEAT_INTERVAL_NANOSECONDS = Milliseconds.toNanoseconds(1_000);
    private static final int REPEATS = 2;
    private static final long EXPIRY_INTERVAL_NANOSECONDS = Milliseconds.toNanoseconds(10_000);

    private final EngineContext mContext;
    private final DistributionState mState;
    private final CrashReportTable mReports;
    private final AdvertSender mAdvertSender;
    private int mRemainingRepeats;
    private long mNextRepeatNanoseconds;
    private long mNextExpiryNanoseconds;

    CrashReportBroadcaster(
            EngineContext context,
            DistributionState state,
            CrashReportTable reports,
            AdvertSender adverts) {
        mContext = context;
        mState = state;
        mReports = reports;
        mAdvertSender = adverts;
        mNextExpiryNanoseconds = context.now();
    }

    /** Broadcasts a report of this node if it differs from the previous one. */
    void report(CrashReport report) {
        if (mReports.put(report, mContext.now())) {
            notifyService();
            mRemainingRepeats = REPEATS;
            mNextRepeatNanoseconds = mContext.now() + REPEAT_INTERVAL_NANOSECONDS;
        }
    }

    /** Handles the reports in an advert; reports of other services and of this node are ignored. */
    void receive(List<CrashReport> reports) {
        List<CrashReport> changed = new ArrayList<>();
        for (CrashReport report : reports) {
            boolean ownService = report.getServiceId().equals(mContext.self().getServiceId());
            boolean own = report.getReporter().equals(mContext.self().getId());
            if (ownService && !own && mReports.put(report, mContext.now())) {
                changed.add(report);
            }
        }
        if (!changed.isEmpty()) {
            mContext.listener().crashReportsReceived(List.copyOf(changed));
        }
    }

    void onTick() {
        long now = mContext.now();
        if (mRemainingRepeats > 0 && now - mNextRepeatNanoseconds >= 0) {
            mRemainingRepeats--;
            mNextRepeatNanoseconds = now + REPEAT_INTERVAL_NANOSECONDS;
            notifyService();
        }
        if (now - mNextExpiryNanoseconds >= 0) {
            mNextExpiryNanoseconds = now + EXPIRY_INTERVAL_NANOSECONDS;
            mReports.expire(now);
        }
    }

    private void notifyService() {
        int sent = 0;
        for (Instance peer : mState.fleet().ofService(mContext.self().getServiceId())) {
            if (sent < MAX_DIRECT_RECIPIENTS && !peer.getId().equals(mContext.self().getId())) {
                mAdvertSender.sendNotification(peer.getId(), List.of());
                sent++;
            }
        }
    }
}
