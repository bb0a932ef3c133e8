package org.foxtailmoor.core.distribution;

import java.util.Optional;
import org.foxtailmoor.core.distribution.DistributionStatus.VersionConflict;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Topic;

/** What a node holds and knows of one topic. */
final class TopicRecord {
    private final Topic mTopic;
    private final DocumentHistory mHistory = new DocumentHistory();
    private final RefusedVersions mRefused = new RefusedVersions();
    private final FetchPlan mFetchPlan;
    private final SourceAge mSourceAge = new SourceAge();
    private DocumentVersion mNewestHeard = DocumentVersions.NONE;
    private VersionConflict mConflict;
    private String mFrom = "";
    private long mSinceNanoseconds;
    private boolean mSourceBehind;

    TopicRecord(Topic topic, FetchPlan fetchPlan, long nowNanoseconds) {
        mTopic = topic;
        mFetchPlan = fetchPlan;
        mSinceNanoseconds = nowNanoseconds;
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

    FetchPlan fetchPlan() {
        return mFetchPlan;
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

    /** Returns the highest version that anyone stated and that was not refused as invalid. */
    DocumentVersion newestHeard() {
        return mNewestHeard;
    }

    Optional<VersionConflict> conflict() {
        return Optional.ofNullable(mConflict);
    }

    String from() {
        return mFrom;
    }

    long sinceNanoseconds() {
        return mSinceNanoseconds;
    }

    boolean isSourceBehind() {
        return mSourceBehind;
    }

    void setSourceBehind(boolean behind) {
        mSourceBehind = behind;
    }

    /** Returns whether a version could take effect: above the one in force, not found invalid. */
    boolean isWanted(DocumentVersion version) {
        return mHistory.isAbove(version) && !mRefused.isInvalid(version);
    }

    /** Takes notice of a version that a peer or the source stated. */
    void hear(DocumentVersion version) {
        noteConflict(mNewestHeard, version);
        noteConflict(version(), version);
        if (isWanted(version) && DocumentVersions.compare(version, mNewestHeard) > 0) {
            mNewestHeard = version;
        }
    }

    /** Puts a document in force; its version must be above the one in force. */
    void putInForce(Document document, String from, long nowNanoseconds) {
        mHistory.add(document);
        mFrom = from;
        mSinceNanoseconds = nowNanoseconds;
        if (DocumentVersions.compare(document.version(), mNewestHeard) > 0) {
            mNewestHeard = document.version();
        }
        if (mConflict != null
                && Long.compareUnsigned(
                                document.version().getNumber(), mConflict.higher().getNumber())
                        > 0) {
            mConflict = null;
        }
        mFetchPlan.inForce(document.version(), nowNanoseconds);
    }

    /** Records that a whole version is invalid. */
    void refuse(DocumentVersion version, String reason, String from, long nowNanoseconds) {
        mRefused.addInvalid(version, reason, from, nowNanoseconds);
        mFetchPlan.forget(version);
        if (mNewestHeard.equals(version)) {
            mNewestHeard = version();
        }
    }

    private void noteConflict(DocumentVersion known, DocumentVersion stated) {
        boolean differs = !known.getDigest().equals(stated.getDigest());
        boolean published = !known.getDigest().isEmpty() && !stated.getDigest().isEmpty();
        if (known.getNumber() == stated.getNumber() && differs && published) {
            boolean ordered = DocumentVersions.compare(known, stated) < 0;
            mConflict =
                    ordered
                            ? new VersionConflict(known, stated)
                            : new VersionConflict(stated, known);
        }
    }
}
