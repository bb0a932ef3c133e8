package org.foxtailmoor.core.home;

import java.util.List;

/**
 * A time span in which the service had the same members in its home region. Times are in
 * milliseconds since the epoch.
 */
final class MemberView {
    /** Value of a time that has not come. */
    static final long NEVER = Long.MIN_VALUE;

    final List<String> mMembers;
    final long mStartedMilliseconds;

    /** First time in the span at which a lease was held. */
    long mFirstLeaseMilliseconds = NEVER;

    /** Last time in the span at which terms started again, because versions may be missing. */
    long mRestartMilliseconds = NEVER;

    MemberView(List<String> members, long startedMilliseconds) {
        mMembers = members;
        mStartedMilliseconds = startedMilliseconds;
    }
}
