package org.foxtailmoor.core.membership;

/**
 * Computes how many voters must confirm a view of the fleet.
 *
 * <p>The quorum is three quarters rather than a simple majority. The quorums of two groups of n
 * voters then overlap as long as fewer than n / 2 voters differ between the groups. Majorities
 * overlap only if at most one voter differs, and the platform may replace several instances at
 * once.
 */
public final class ViewQuorum {
    private ViewQuorum() {}

    /**
     * Returns the minimum number of confirmations for a group.
     *
     * <pre>{@code
     * ViewQuorum.of(8) == 6
     * }</pre>
     *
     * @param voters number of voters, at least 0
     * @return three quarters of the voters, rounded up, and at least 1
     */
    public static int of(int voters) {
        return Math.max(1, (3 * voters + 3) / 4);
    }
}
