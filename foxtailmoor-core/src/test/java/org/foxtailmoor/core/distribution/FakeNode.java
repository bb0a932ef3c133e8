package org.foxtailmoor.core.distribution;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.ControlMessage;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;

/**
 * One engine in a {@link FakeFleet}. Throws an AssertionError if an applied version is not newer
 * than the previous one.
 */
final class FakeNode implements DocumentListener, ControlOutbox {
    private static final long WATCH_ANSWER_INTERVAL_NANOSECONDS = Milliseconds.toNanoseconds(1_000);

    final Instance mInstance;
    final DistributionEngine mEngine;
    final Map<Topic, SourceRole> mRoles = new EnumMap<>(Topic.class);
    final Map<DocumentVersion, Long> mAppliedAtNanoseconds = new HashMap<>();
    final List<CrashReport> mCrashReports = new ArrayList<>();
    final Set<String> mClosedPeers = new HashSet<>();
    boolean mDead;
    int mCheckCount;
    private final FakeFleet mFleet;
    private final Map<Topic, DocumentVersion> mLastVersions = new EnumMap<>(Topic.class);
    private final Map<Topic, DocumentVersion> mReadVersions = new EnumMap<>(Topic.class);
    private final Map<Topic, Long> mLastReadNanoseconds = new EnumMap<>(Topic.class);
    private final List<Runnable> mBufferedDeliveries = new ArrayList<>();
    private boolean mPaused;

    FakeNode(FakeFleet fleet, Instance instance, List<String> seeds) {
        mFleet = fleet;
        mInstance = instance;
        mEngine =
                DistributionEngine.builder()
                        .self(instance)
                        .incarnation(1 + fleet.mTicker.nanoTime())
                        .ticker(fleet.mTicker)
                        .random(new SplittableRandom(fleet.mRandom.nextLong()))
                        .settings(fleet.mSettings)
                        .outbox(this)
                        .listener(this)
                        .topologyFactory(fleet::topology)
                        .build();
        seeds.forEach(mEngine::addSeed);
    }

    DocumentVersion version(Topic topic) {
        return mEngine.document(topic).version();
    }

    boolean holdsLease() {
        return mEngine.viewLease()
                .isHeld(version(Topic.TOPIC_INSTANCES), mFleet.mTicker.nanoTime());
    }

    /** Pauses the node: ticks are skipped and messages are buffered. */
    void pause() {
        mPaused = true;
    }

    /** Resumes the node and delivers the buffered messages before anything else. */
    void resume() {
        mPaused = false;
        mBufferedDeliveries.forEach(Runnable::run);
        mBufferedDeliveries.clear();
    }

    void deliver(String from, ControlMessage message) {
        if (mPaused) {
            mBufferedDeliveries.add(() -> deliver(from, message));
        } else if (!mDead) {
            mEngine.onMessage(from, message);
        }
    }

    void tick() {
        if (mPaused) {
            return;
        }
        mEngine.onTick();
        for (Topic topic : DistributionState.TOPICS) {
            SourceRole role = mEngine.sourceRole(topic);
            mRoles.put(topic, role);
            long idle = mFleet.mTicker.nanoTime() - mLastReadNanoseconds.getOrDefault(topic, 0L);
            boolean changed = mFleet.mSource.get(topic) != null && isUnread(topic);
            if (role == SourceRole.POLL) {
                mFleet.mPollCount++;
                mFleet.after(Milliseconds.toNanoseconds(2), () -> readSource(topic));
            } else if (role == SourceRole.WATCH
                    && (changed || idle >= WATCH_ANSWER_INTERVAL_NANOSECONDS)) {
                readSource(topic);
            }
        }
    }

    void readSource(Topic topic) {
        mLastReadNanoseconds.put(topic, mFleet.mTicker.nanoTime());
        Document document = mFleet.mSource.get(topic);
        if (mDead || mPaused) {
            return;
        }
        if (!mFleet.mSourceReachable.test(this) || document == null) {
            mEngine.onSourceFailed(topic);
        } else if (isUnread(topic)) {
            mReadVersions.put(topic, document.version());
            mEngine.onSourceRead(topic, document);
        } else {
            mEngine.onSourceUnchanged(topic);
        }
    }

    @Override
    public void send(String peerId, ControlMessage message) {
        mFleet.send(this, peerId, message);
    }

    @Override
    public void close(String peerId) {
        mClosedPeers.add(peerId);
    }

    @Override
    public Optional<String> check(Topic topic, Document document) {
        mCheckCount++;
        boolean bad = document.contents().containsKey("bad");
        return bad ? Optional.of("part bad is not allowed") : Optional.empty();
    }

    @Override
    public void documentApplied(Topic topic, Document document, String from) {
        DocumentVersion last = mLastVersions.getOrDefault(topic, DocumentVersions.NONE);
        if (DocumentVersions.compare(document.version(), last) <= 0) {
            throw new AssertionError(
                    mInstance.getId()
                            + " went from "
                            + DocumentVersions.format(last)
                            + " to "
                            + DocumentVersions.format(document.version()));
        }
        mLastVersions.put(topic, document.version());
        mAppliedAtNanoseconds.put(document.version(), mFleet.mTicker.nanoTime());
    }

    @Override
    public void crashReportsReceived(List<CrashReport> reports) {
        mCrashReports.addAll(reports);
    }

    private boolean isUnread(Topic topic) {
        return !mFleet.mSource.get(topic).version().equals(mReadVersions.get(topic));
    }
}
