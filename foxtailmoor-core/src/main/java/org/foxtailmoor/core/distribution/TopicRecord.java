package org.foxtailmoor.core.distribution;

import java.util.Optional;
import org.foxtailmoor.core.distribution.DistributionStatus.VersionConflict;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Topic;

/** State of one topic at this node. */
final class TopicRecord {
    private final Topic mTopic;
    private final DocumentHistory mHistory = new DocumentHistory();
    private final RefusedVersions mRefused = new RefusedVersions();
    private final FetchScheduler mFetchScheduler;
    private final SourceAge mSourceAge = new SourceAge();
    private DocumentVersion mNewestHeard = DocumentVersions.NONE;
    private VersionConflict mConflict;
    private String mFrom = "";
    private long mAppliedNanoseconds;
    private boolean mSourceBehind;

    TopicRecord(Topic topic, FetchScheduler fetchScheduler, long nowNanoseconds) {
        mTopic = topic;
        mFetchScheduler = fetchScheduler;
        mAppliedNanoseconds = nowNanoseconds;
    }

    Topic topic() {
        return mTopic;
    }

    DocumentHistory history() {
        return mHistory;
    }

    RefusedVersions refused() {
        return mRefused;
    }

    FetchScheduler fetchScheduler() {
        return mFetchScheduler;
    }

    SourceAge sourceAge() {
        return mSourceAge;
    }

    Document document() {
        return mHistory.current();
    }

    DocumentVersion version() {
        return mHistory.current().version();
    }

    /** Returns the highest version reported by a peer or the source and not refused as invalid. */
    DocumentVersion newestHeard() {
        return mNewestHeard;
    }

    Optional<VersionConflict> conflict() {
        return Optional.ofNullable(mConflict);
    }

    String from() {
        return mFrom;
    }

    long appliedNanoseconds() {
        return mAppliedNanoseconds;
    }

    boolean isSourceBehind() {
        return mSourceBehind;
    }

    void setSourceBehind(boolean behind) {
        mSourceBehind = behind;
    }

    /**
     * Returns whether a version may be applied: it is newer than the current one and not known to
     * be invalid.
     */
    boolean isApplicable(DocumentVersion version) {
        return mHistory.isNewer(version) && !mRefused.isInvalid(version);
    }

    /** Records a version reported by a peer or the source. */
    void observeVersion(DocumentVersion version) {
        detectConflict(mNewestHeard, version);
        detectConflict(version(), version);
        if (isApplicable(version) && DocumentVersions.compare(version, mNewestHeard) > 0) {
            mNewestHeard = version;
        }
    }

    /** Makes a document the current one; its version must be newer than the current one. */
    void apply(Document document, String from, long nowNanoseconds) {
        mHistory.add(document);
        mFrom = from;
        mAppliedNanoseconds = nowNanoseconds;
        if (DocumentVersions.compare(document.version(), mNewestHeard) > 0) {
            mNewestHeard = document.version();
        }
        if (mConflict != null
                && Long.compareUnsigned(
                                document.version().getNumber(), mConflict.higher().getNumber())
                        > 0) {
            mConflict = null;
        }
        mFetchScheduler.versionApplied(document.version(), nowNanoseconds);
    }

    /** Records that a complete version is invalid. */
    void refuseInvalid(DocumentVersion version, String reason, String from, long nowNanoseconds) {
        mRefused.addInvalid(version, reason, from, nowNanoseconds);
        mFetchScheduler.removeVersion(version);
        if (mNewestHeard.equals(version)) {
            mNewestHeard = version();
        }
    }

    private void detectConflict(DocumentVersion known, DocumentVersion reported) {
        boolean differs = !known.getDigest().equals(reported.getDigest());
        boolean published = !known.getDigest().isEmpty() && !reported.getDigest().isEmpty();
        if (known.getNumber() == reported.getNumber() && differs && published) {
            boolean ordered = DocumentVersions.compare(known, reported) < 0;
            mConflict =
                    ordered
                            ? new VersionConflict(known, reported)
                            : new VersionConflict(reported, known);
        }
    }
}
