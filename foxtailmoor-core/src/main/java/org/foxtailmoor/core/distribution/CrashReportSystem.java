package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Spreads crash counts among the nodes of a service: at once to each of them, then repeated in the
 * adverts of some seconds, and to a node that joins later in its first adverts.
 */
final class CrashReportSystem {
    /** Largest number of nodes that a report is sent to directly. */
    static final int LARGEST_AUDIENCE = 64;

    private static final long REPEAT_NANOSECONDS = Milliseconds.toNanoseconds(1_000);
    private static final int REPEATS = 2;
    private static final long EXPIRE_NANOSECONDS = Milliseconds.toNanoseconds(10_000);

    private final EngineContext mContext;
    private final DistributionState mState;
    private final CrashReportTable mReports;
    private final AdvertWriter mAdverts;
    private int mRepeatsLeft;
    private long mRepeatNanoseconds;
    private long mExpireNanoseconds;

    CrashReportSystem(
            EngineContext context,
            DistributionState state,
            CrashReportTable reports,
            AdvertWriter adverts) {
        mContext = context;
        mState = state;
        mReports = reports;
        mAdverts = adverts;
        mExpireNanoseconds = context.now();
    }

    /** Spreads a report of this node. */
    void report(CrashReport report) {
        if (mReports.put(report, mContext.now())) {
            tellService();
            mRepeatsLeft = REPEATS;
            mRepeatNanoseconds = mContext.now() + REPEAT_NANOSECONDS;
        }
    }

    /** Takes reports from an advert; those of other services and of this node are ignored. */
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
        if (mRepeatsLeft > 0 && now - mRepeatNanoseconds >= 0) {
            mRepeatsLeft--;
            mRepeatNanoseconds = now + REPEAT_NANOSECONDS;
            tellService();
        }
        if (now - mExpireNanoseconds >= 0) {
            mExpireNanoseconds = now + EXPIRE_NANOSECONDS;
            mReports.expire(now);
        }
    }

    private void tellService() {
        int told = 0;
        for (Instance peer : mState.fleet().ofService(mContext.self().getServiceId())) {
            if (told < LARGEST_AUDIENCE && !peer.getId().equals(mContext.self().getId())) {
                mAdverts.tell(peer.getId(), List.of());
                told++;
            }
        }
    }
}
