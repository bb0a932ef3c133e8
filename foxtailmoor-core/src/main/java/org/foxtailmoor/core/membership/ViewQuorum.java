package org.foxtailmoor.core.membership;

/**
 * Computes how many voters must confirm a view of the fleet.
 *
 * <p>Three quarters are needed, and not a bare majority: quorums of two groups of n voters then
 * overlap while fewer than n / 2 voters were exchanged between them. Majorities overlap only up to
 * one exchanged voter, and a platform may replace several instances at once.
 */
public final class ViewQuorum {
    private ViewQuorum() {}

    /**
     * Returns the smallest quorum of a group.
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
