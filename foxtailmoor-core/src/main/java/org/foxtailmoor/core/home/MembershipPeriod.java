package org.foxtailmoor.core.home;

import java.util.List;

/**
 * A period during which the members of the service in its home region did not change. Times are in
 * milliseconds since the epoch.
 */
final class MembershipPeriod {
    /** Placeholder for an event that has not occurred. */
    static final long NEVER = Long.MIN_VALUE;

    final List<String> mMembers;
    final long mStartedMilliseconds;

    /** Time at which a lease was first held in this period. */
    long mFirstLeaseMilliseconds = NEVER;

    /** Time at which terms last restarted in this period because versions may have been missed. */
    long mTermRestartMilliseconds = NEVER;

    MembershipPeriod(List<String> members, long startedMilliseconds) {
        mMembers = members;
        mStartedMilliseconds = startedMilliseconds;
    }
}
