package org.foxtailmoor.core.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.foxtailmoor.core.distribution.DistributionStatus.RefusedVersion;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/** Remembers the versions of one topic that were refused, the latest of them. */
final class RefusedVersions {
    /** Largest number kept. A forgotten version is checked and refused again. */
    static final int LARGEST_SIZE = 32;

    private record Refused(
            DocumentVersion version,
            String reason,
            String from,
            boolean invalid,
            long atNanoseconds) {}

    private final Deque<Refused> mRefused = new ArrayDeque<>();

    /** Records a whole version whose content is invalid; it is not fetched again. */
    void addInvalid(DocumentVersion version, String reason, String from, long nowNanoseconds) {
        add(new Refused(version, reason, from, true, nowNanoseconds));
    }

    /** Records an incomplete transfer of a version; another transfer may succeed. */
    void addIncomplete(DocumentVersion version, String reason, String from, long nowNanoseconds) {
        add(new Refused(version, reason, from, false, nowNanoseconds));
    }

    /** Returns whether a version was found invalid. */
    boolean isInvalid(DocumentVersion version) {
        for (Refused refused : mRefused) {
            if (refused.invalid() && refused.version().equals(version)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the records for the status, the latest last. */
    List<RefusedVersion> list(long nowNanoseconds) {
        return mRefused.stream()
                .map(
                        refused ->
                                new RefusedVersion(
                                        refused.version(),
                                        refused.reason(),
                                        refused.from(),
                                        Milliseconds.ofNanoseconds(
                                                nowNanoseconds - refused.atNanoseconds())))
                .toList();
    }

    private void add(Refused refused) {
        mRefused.removeIf(
                earlier ->
                        earlier.version().equals(refused.version())
                                && earlier.invalid() == refused.invalid());
        mRefused.addLast(refused);
        if (mRefused.size() > LARGEST_SIZE) {
            mRefused.removeFirst();
        }
    }
}
