package org.foxtailmoor.core.home;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.core.routing.Upstream;
import org.foxtailmoor.protocol.generated.CrashCount;
import org.foxtailmoor.protocol.generated.CrashExchange;

/**
 * Exchanges the counts of a {@link CrashTable} with the other nodes of the service. Not
 * thread-safe; used only on the data loop.
 *
 * <p>A crash of the own target is sent at once to a few nodes. In a service with more nodes, each
 * node that learns something new passes it on to a few random ones. In addition, a node that knows
 * crashes, has just started or is listed again compares its digest with that of one random node at
 * a time, which also reaches nodes that were down or cut off.
 */
public final class CrashExchanger {
    /** Number of nodes to which counts of this node are sent. */
    public static final int DIRECT_RECIPIENTS = 8;

    /** Number of nodes to which counts of other nodes are passed on. */
    public static final int RELAY_RECIPIENTS = 4;

    /** Maximum number of counts in a message. */
    public static final int MAX_COUNTS = 64;

    private static final long COMPARE_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    private static final long SLOW_COMPARE_INTERVAL_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Time after a change or a start in which digests are compared at the shorter interval, also
     * without a crash that is not cleared.
     */
    private static final long ACTIVE_NANOSECONDS = TimeUnit.SECONDS.toNanos(10);

    private static final double PUSHED_BYTES_PER_SECOND = 4_000;
    private static final double PUSHED_BYTES_BURST = 64_000;

    /** Sends a message to another node. */
    @FunctionalInterface
    public interface Transport {
        /** Sends a message if the node is reachable; messages may be lost. */
        void send(Upstream member, CrashExchange message);
    }

    private final Ticker mTicker;
    private final RandomGenerator mRandom;
    private final String mServiceId;
    private final CrashTable mTable;
    private final Transport mTransport;
    private final TokenBucket mPushBytes;
    private final Map<List<Object>, CrashCount> mPending = new LinkedHashMap<>();
    private List<Upstream> mMembers = List.of();
    private boolean mListed;
    private long mActiveSinceNanoseconds;
    private long mComparedNanoseconds;

    private CrashExchanger(
            Ticker ticker,
            RandomGenerator random,
            String serviceId,
            CrashTable table,
            Transport transport) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mRandom = Objects.requireNonNull(random, "random");
        mServiceId = Objects.requireNonNull(serviceId, "serviceId");
        mTable = Objects.requireNonNull(table, "table");
        mTransport = Objects.requireNonNull(transport, "transport");
        mPushBytes = TokenBucket.of(ticker, PUSHED_BYTES_PER_SECOND, PUSHED_BYTES_BURST);
        mActiveSinceNanoseconds = ticker.nanoTime();
        mComparedNanoseconds = mActiveSinceNanoseconds - COMPARE_INTERVAL_NANOSECONDS;
    }

    /** Creates an exchanger without members; no argument may be null. */
    public static CrashExchanger of(
            Ticker ticker,
            RandomGenerator random,
            String serviceId,
            CrashTable table,
            Transport transport) {
        return new CrashExchanger(ticker, random, serviceId, table, transport);
    }

    /**
     * Sets the nodes of the service.
     *
     * @param members other nodes of the service, not null
     * @param listed whether this node is listed too; if not, other nodes do not send to it
     */
    public void update(List<Upstream> members, boolean listed) {
        mMembers = List.copyOf(members);
        if (listed && !mListed) {
            mActiveSinceNanoseconds = mTicker.nanoTime();
        }
        mListed = listed;
    }

    /** Distributes changed counts; see {@link CrashTable.Listener#onCountsChanged}. */
    public void onCountsChanged(List<CrashCount> counts, boolean crashedHere) {
        mActiveSinceNanoseconds = mTicker.nanoTime();
        if (crashedHere) {
            push(counts, DIRECT_RECIPIENTS);
            return;
        }
        for (CrashCount count : counts) {
            mPending.put(
                    List.of(count.getFingerprint(), count.getReporter(), count.getIncarnation()),
                    count);
        }
    }

    /**
     * Merges the counts of a message.
     *
     * @param message received message, not null
     * @return answer to send to the sender, or null
     */
    public CrashExchange receive(CrashExchange message) {
        if (!message.getServiceId().equals(mServiceId)) {
            return null;
        }
        mTable.merge(message.getCountsList());
        mTable.attributeCommonCrashes();
        if (!message.getReplyWanted() || message.getDigest() == mTable.digest()) {
            return null;
        }
        // The sender of a digest without counts has yet to send what it knows.
        boolean replyWanted = message.getCountsCount() == 0 && message.getDigest() != 0;
        return newMessage(mTable.counts(), replyWanted);
    }

    /** Passes on what is new and compares digests when due. */
    public void tick() {
        mTable.tick();
        if (!mPending.isEmpty()) {
            List<CrashCount> pending = new ArrayList<>(mPending.values());
            mPending.clear();
            push(pending, RELAY_RECIPIENTS);
        }
        long now = mTicker.nanoTime();
        boolean active = mTable.hasCrashes() || now - mActiveSinceNanoseconds < ACTIVE_NANOSECONDS;
        long interval = active ? COMPARE_INTERVAL_NANOSECONDS : SLOW_COMPARE_INTERVAL_NANOSECONDS;
        if ((active || !mTable.isEmpty())
                && !mMembers.isEmpty()
                && now - mComparedNanoseconds >= interval) {
            mComparedNanoseconds = now;
            Upstream member = mMembers.get(mRandom.nextInt(mMembers.size()));
            mTransport.send(member, newMessage(List.of(), true));
        }
    }

    private void push(List<CrashCount> counts, int recipients) {
        CrashExchange message = newMessage(counts, false);
        for (Upstream member : randomOf(mMembers, recipients)) {
            // What exceeds the limit is found when digests are compared.
            if (mPushBytes.tryTake(message.getSerializedSize())) {
                mTransport.send(member, message);
            }
        }
    }

    private CrashExchange newMessage(List<CrashCount> counts, boolean replyWanted) {
        return CrashExchange.newBuilder()
                .setServiceId(mServiceId)
                .addAllCounts(select(counts))
                .setDigest(mTable.digest())
                .setReplyWanted(replyWanted)
                .build();
    }

    /**
     * Returns the counts that fit into a message: those that are not cleared first, and random ones
     * where not all fit, so that repeated comparisons pass on all of them.
     */
    private List<CrashCount> select(List<CrashCount> counts) {
        if (counts.size() <= MAX_COUNTS) {
            return counts;
        }
        List<CrashCount> open =
                counts.stream().filter(count -> !CrashTable.isCleared(count)).toList();
        List<CrashCount> selected = new ArrayList<>(randomOf(open, MAX_COUNTS));
        List<CrashCount> cleared = counts.stream().filter(CrashTable::isCleared).toList();
        selected.addAll(randomOf(cleared, MAX_COUNTS - selected.size()));
        return selected;
    }

    private <T> List<T> randomOf(List<T> values, int limit) {
        List<T> shuffled = new ArrayList<>(values);
        int count = Math.min(limit, shuffled.size());
        for (int i = 0; i < count; i++) {
            Collections.swap(shuffled, i, i + mRandom.nextInt(shuffled.size() - i));
        }
        return shuffled.subList(0, count);
    }
}
