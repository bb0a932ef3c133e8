package org.foxtailmoor.core.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.foxtailmoor.core.distribution.DistributionStatus.RefusedVersion;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/** Keeps the most recently refused versions of one topic. */
final class RefusedVersions {
    /**
     * Maximum number kept. An evicted version is validated and refused again if it is received
     * again.
     */
    static final int MAX_SIZE = 32;

    private record Refusal(
            DocumentVersion version,
            String reason,
            String from,
            boolean invalid,
            long refusedAtNanoseconds) {}

    private final Deque<Refusal> mRefused = new ArrayDeque<>();

    /** Records a complete version with invalid content; it is not fetched again. */
    void addInvalid(DocumentVersion version, String reason, String from, long nowNanoseconds) {
        add(new Refusal(version, reason, from, true, nowNanoseconds));
    }

    /** Records an incomplete or corrupt transfer of a version; another transfer may succeed. */
    void addIncomplete(DocumentVersion version, String reason, String from, long nowNanoseconds) {
        add(new Refusal(version, reason, from, false, nowNanoseconds));
    }

    /** Returns whether a version was refused as invalid. */
    boolean isInvalid(DocumentVersion version) {
        for (Refusal refusal : mRefused) {
            if (refusal.invalid() && refusal.version().equals(version)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the refused versions for the status, oldest first. */
    List<RefusedVersion> list(long nowNanoseconds) {
        return mRefused.stream()
                .map(
                        refusal ->
                                new RefusedVersion(
                                        refusal.version(),
                                        refusal.reason(),
                                        refusal.from(),
                                        Milliseconds.fromNanoseconds(
                                                nowNanoseconds - refusal.refusedAtNanoseconds())))
                .toList();
    }

    private void add(Refusal refusal) {
        mRefused.removeIf(
                earlier ->
                        earlier.version().equals(refusal.version())
                                && earlier.invalid() == refusal.invalid());
        mRefused.addLast(refusal);
        if (mRefused.size() > MAX_SIZE) {
            mRefused.removeFirst();
        }
    }
}
