package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/**
 * Decides when and from which peer to fetch a newer version of one topic. A fetch is delayed,
 * because the version usually arrives by push, and only one fetch is in progress at a time.
 */
final class FetchScheduler {
    /** Maximum number of peers remembered as holders of a newer version. */
    static final int MAX_HOLDERS = 8;

    private static final int MAX_ATTEMPTS = 3;
    // Longer than a round trip between regions (60 ms) plus the transfer of 1 MB at 30 Mbit/s (270
    // ms), so that a slow response rarely causes a second fetch.
    private static final long RESPONSE_TIMEOUT_NANOSECONDS = Milliseconds.toNanoseconds(500);

    private static final class Holder {
        private final String mPeerId;
        private final boolean mSameRegion;
        private DocumentVersion mVersion;
        private int mAttempts;

        private Holder(String peerId, boolean sameRegion, DocumentVersion version) {
            mPeerId = peerId;
            mSameRegion = sameRegion;
            mVersion = version;
        }
    }

    private static final Comparator<Holder> PREFERENCE =
            Comparator.<Holder>comparingInt(holder -> holder.mAttempts)
                    .thenComparing(holder -> !holder.mSameRegion)
                    .thenComparing(holder -> holder.mVersion, (a, b) -> compareReversed(a, b));

    private final long mDelayNanoseconds;
    private final RandomGenerator mRandom;
    private final List<Holder> mHolders = new ArrayList<>();
    private long mDueNanoseconds;
    private boolean mInProgress;

    FetchScheduler(long delayNanoseconds, RandomGenerator random) {
        mDelayNanoseconds = delayNanoseconds;
        mRandom = random;
    }

    /**
     * Records that a peer has a version newer than the current one.
     *
     * @param sameRegion whether the peer is in the node's region. If not, the delay is two to four
     *     times as long, so that content is sent to each region only once: by push or, if that
     *     fails, by the first node that fetches it and then notifies the others
     */
    void addHolder(
            String peerId, DocumentVersion version, boolean sameRegion, long nowNanoseconds) {
        double delays = sameRegion ? 1 : 2 + 2 * mRandom.nextDouble();
        long due = nowNanoseconds + (long) (mDelayNanoseconds * delays);
        if (mHolders.isEmpty()) {
            mDueNanoseconds = due;
        } else if (!mInProgress && due - mDueNanoseconds < 0) {
            mDueNanoseconds = due;
        }
        for (Holder holder : mHolders) {
            if (holder.mPeerId.equals(peerId)) {
                holder.mVersion = version;
                return;
            }
        }
        if (mHolders.size() >= MAX_HOLDERS) {
            mHolders.remove(mHolders.stream().max(PREFERENCE).orElseThrow());
        }
        mHolders.add(new Holder(peerId, sameRegion, version));
    }

    /** Returns the peer to fetch from if a fetch is due, and marks that fetch as in progress. */
    Optional<String> pollDue(long nowNanoseconds) {
        if (mHolders.isEmpty() || nowNanoseconds - mDueNanoseconds < 0) {
            return Optional.empty();
        }
        mHolders.removeIf(holder -> holder.mAttempts >= MAX_ATTEMPTS);
        mInProgress = false;
        if (mHolders.isEmpty()) {
            return Optional.empty();
        }
        Holder chosen = mHolders.stream().min(PREFERENCE).orElseThrow();
        chosen.mAttempts++;
        mInProgress = true;
        mDueNanoseconds = nowNanoseconds + RESPONSE_TIMEOUT_NANOSECONDS;
        return Optional.of(chosen.mPeerId);
    }

    /** Makes the next fetch due immediately, unless one is in progress. */
    void scheduleNow(long nowNanoseconds) {
        if (!mInProgress) {
            mDueNanoseconds = nowNanoseconds;
        }
    }

    /** Postpones the next fetch after a peer was busy or sent an incomplete update. */
    void postpone(long waitNanoseconds, long nowNanoseconds) {
        mInProgress = false;
        mDueNanoseconds = nowNanoseconds + waitNanoseconds;
    }

    /** Removes the holders of versions that are not newer than the one just applied. */
    void versionApplied(DocumentVersion version, long nowNanoseconds) {
        mHolders.removeIf(holder -> DocumentVersions.compare(holder.mVersion, version) <= 0);
        mInProgress = false;
        mDueNanoseconds = nowNanoseconds + mDelayNanoseconds;
    }

    /** Removes the holders of an invalid version. */
    void removeVersion(DocumentVersion version) {
        mHolders.removeIf(holder -> holder.mVersion.equals(version));
        mInProgress = false;
    }

    private static int compareReversed(DocumentVersion first, DocumentVersion second) {
        return DocumentVersions.compare(second, first);
    }
}
