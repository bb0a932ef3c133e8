package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/**
 * Decides when and from whom to fetch a newer version of one topic. The fetch waits for a while,
 * because the version is usually on its way by push; one fetch is under way at a time.
 */
final class FetchPlan {
    /** Largest number of peers remembered as holders of a newer version. */
    static final int LARGEST_HOLDERS = 8;

    private static final int LARGEST_ATTEMPTS = 3;
    // Longer than a round trip between regions (60 ms) and the transfer of 1 MB at 30 Mbit/s
    // (270 ms), so that a slow answer is rarely asked for twice.
    private static final long ANSWER_NANOSECONDS = Milliseconds.toNanoseconds(500);

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
    private boolean mUnderWay;

    FetchPlan(long delayNanoseconds, RandomGenerator random) {
        mDelayNanoseconds = delayNanoseconds;
        mRandom = random;
    }

    /**
     * Takes notice that a peer has a version above the one in force.
     *
     * @param sameRegion whether the peer is in the node's region; if not, the wait is two to four
     *     times as long, so that content crosses to a region once: by push, or if that fails, by
     *     the fetch of the first node, which then tells the others
     */
    void heard(String peerId, DocumentVersion version, boolean sameRegion, long nowNanoseconds) {
        double delays = sameRegion ? 1 : 2 + 2 * mRandom.nextDouble();
        long due = nowNanoseconds + (long) (mDelayNanoseconds * delays);
        if (mHolders.isEmpty()) {
            mDueNanoseconds = due;
        } else if (!mUnderWay && due - mDueNanoseconds < 0) {
            mDueNanoseconds = due;
        }
        for (Holder holder : mHolders) {
            if (holder.mPeerId.equals(peerId)) {
                holder.mVersion = version;
                return;
            }
        }
        if (mHolders.size() >= LARGEST_HOLDERS) {
            mHolders.remove(mHolders.stream().max(PREFERENCE).orElseThrow());
        }
        mHolders.add(new Holder(peerId, sameRegion, version));
    }

    /** Returns the peer to send a fetch to now, if one is due. */
    Optional<String> takeDue(long nowNanoseconds) {
        if (mHolders.isEmpty() || nowNanoseconds - mDueNanoseconds < 0) {
            return Optional.empty();
        }
        mHolders.removeIf(holder -> holder.mAttempts >= LARGEST_ATTEMPTS);
        mUnderWay = false;
        if (mHolders.isEmpty()) {
            return Optional.empty();
        }
        Holder chosen = mHolders.stream().min(PREFERENCE).orElseThrow();
        chosen.mAttempts++;
        mUnderWay = true;
        mDueNanoseconds = nowNanoseconds + ANSWER_NANOSECONDS;
        return Optional.of(chosen.mPeerId);
    }

    /** Makes the next fetch due at once, unless one is under way. */
    void hasten(long nowNanoseconds) {
        if (!mUnderWay) {
            mDueNanoseconds = nowNanoseconds;
        }
    }

    /** Puts the next fetch off after a peer refused it or sent an incomplete answer. */
    void postpone(long waitNanoseconds, long nowNanoseconds) {
        mUnderWay = false;
        mDueNanoseconds = nowNanoseconds + waitNanoseconds;
    }

    /** Forgets the holders of versions that are not above the one in force. */
    void inForce(DocumentVersion version, long nowNanoseconds) {
        mHolders.removeIf(holder -> DocumentVersions.compare(holder.mVersion, version) <= 0);
        mUnderWay = false;
        mDueNanoseconds = nowNanoseconds + mDelayNanoseconds;
    }

    /** Forgets the holders of an invalid version. */
    void forget(DocumentVersion version) {
        mHolders.removeIf(holder -> holder.mVersion.equals(version));
        mUnderWay = false;
    }

    private static int compareReversed(DocumentVersion first, DocumentVersion second) {
        return DocumentVersions.compare(second, first);
    }
}
