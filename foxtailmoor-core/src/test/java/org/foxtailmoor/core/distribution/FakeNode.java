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

/** One engine in a fake fleet. It fails the test if a version in force does not rise. */
final class FakeNode implements DocumentListener, ControlOutbox {
    private static final long UNCHANGED_NANOSECONDS = 1_000 * FakeFleet.MILLISECOND;

    final Instance mInstance;
    final DistributionEngine mEngine;
    final Map<Topic, SourceRole> mRoles = new EnumMap<>(Topic.class);
    final Map<DocumentVersion, Long> mInForceAt = new HashMap<>();
    final List<CrashReport> mCrashReports = new ArrayList<>();
    final Set<String> mClosed = new HashSet<>();
    boolean mDead;
    int mChecks;
    private final FakeFleet mFleet;
    private final Map<Topic, DocumentVersion> mLast = new EnumMap<>(Topic.class);
    private final Map<Topic, DocumentVersion> mRead = new EnumMap<>(Topic.class);
    private final Map<Topic, Long> mReadAt = new EnumMap<>(Topic.class);
    private final List<Runnable> mHeld = new ArrayList<>();
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

    /** Stops the process; ticks and messages wait. */
    void pause() {
        mPaused = true;
    }

    /** Lets the process go on; what waited in its buffers arrives first. */
    void resume() {
        mPaused = false;
        mHeld.forEach(Runnable::run);
        mHeld.clear();
    }

    void deliver(String from, ControlMessage message) {
        if (mPaused) {
            mHeld.add(() -> deliver(from, message));
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
            long idle = mFleet.mTicker.nanoTime() - mReadAt.getOrDefault(topic, 0L);
            boolean changed = mFleet.mSource.get(topic) != null && isUnread(topic);
            if (role == SourceRole.POLL) {
                mFleet.mPolls++;
                mFleet.after(2 * FakeFleet.MILLISECOND, () -> readSource(topic));
            } else if (role == SourceRole.WATCH && (changed || idle >= UNCHANGED_NANOSECONDS)) {
                readSource(topic);
            }
        }
    }

    void readSource(Topic topic) {
        mReadAt.put(topic, mFleet.mTicker.nanoTime());
        Document document = mFleet.mSource.get(topic);
        if (mDead || mPaused) {
            return;
        }
        if (!mFleet.mReachesSource.test(this) || document == null) {
            mEngine.onSourceFailed(topic);
        } else if (isUnread(topic)) {
            mRead.put(topic, document.version());
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
        mClosed.add(peerId);
    }

    @Override
    public Optional<String> check(Topic topic, Document document) {
        mChecks++;
        boolean bad = document.contents().containsKey("bad");
        return bad ? Optional.of("part bad is not allowed") : Optional.empty();
    }

    @Override
    public void documentApplied(Topic topic, Document document, String from) {
        DocumentVersion last = mLast.getOrDefault(topic, DocumentVersions.NONE);
        if (DocumentVersions.compare(document.version(), last) <= 0) {
            throw new AssertionError(
                    mInstance.getId()
                            + " went from "
                            + DocumentVersions.format(last)
                            + " to "
                            + DocumentVersions.format(document.version()));
        }
        mLast.put(topic, document.version());
        mInForceAt.put(document.version(), mFleet.mTicker.nanoTime());
    }

    @Override
    public void crashReportsReceived(List<CrashReport> reports) {
        mCrashReports.addAll(reports);
    }

    private boolean isUnread(Topic topic) {
        return !mFleet.mSource.get(topic).version().equals(mRead.get(topic));
    }
}
