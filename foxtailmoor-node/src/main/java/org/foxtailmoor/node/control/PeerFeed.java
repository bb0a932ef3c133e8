package org.foxtailmoor.node.control;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.source.StoreCopy;
import org.foxtailmoor.core.source.StoreItemBatchCodec;
import org.foxtailmoor.core.source.StorePosition;
import org.foxtailmoor.core.source.StoreReplica;
import org.foxtailmoor.protocol.generated.ItemResponse;

/**
 * Answers the nodes that read the items of the store from this node. A reader gets a response as
 * soon as this node has heard from its own source, even if nothing has changed: the response says
 * how old the copy is, and one without news tells the reader that the path to the store works.
 */
public final class PeerFeed {
    private static final long MAX_WAIT_MILLISECONDS = 5_000;
    private static final long NANOSECONDS_PER_MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int MAX_READERS = 256;
    private static final int MAX_ENCODED_BATCHES = 16;

    /** News for which the readers are answered, if nothing has changed. */
    private static final long MIN_REFRESH_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    private record Reader(
            StorePosition after, long endNanoseconds, CompletableFuture<ItemResponse> response) {}

    private final EventLoop mLoop;
    private final Ticker mTicker;
    private final StoreReplica mReplica;
    private final Map<StorePosition, ByteString> mEncodedBatches = new HashMap<>();
    private List<Reader> mReaders = new ArrayList<>();
    private boolean mCurrent;
    private StorePosition mPosition = StorePosition.NONE;
    private long mConfirmedNanoseconds;

    /**
     * Creates a feed.
     *
     * @param loop control loop, not null
     * @param ticker clock, not null
     * @param replica items to pass on, not null
     */
    public PeerFeed(EventLoop loop, Ticker ticker, StoreReplica replica) {
        mLoop = loop;
        mTicker = ticker;
        mReplica = replica;
    }

    /**
     * Waits for changes. May be called from any thread.
     *
     * @param after position up to which the reader is complete, {@link StorePosition#NONE} for none
     * @param wait maximum wait; longer waits than 5 s are shortened
     * @return future of the response, which fails with NOT_READY if this node does not have all
     *     items by then
     */
    public CompletableFuture<ItemResponse> read(StorePosition after, Duration wait) {
        return read(after, Duration.ZERO, wait);
    }

    /**
     * Waits for changes, but responds at once if this node has heard from the store more recently
     * than the reader.
     *
     * @param after position up to which the reader is complete, {@link StorePosition#NONE} for none
     * @param age age of the reader's copy
     * @param wait maximum wait, see {@link #read(StorePosition, Duration)}
     * @return future of the response, see {@link #read(StorePosition, Duration)}
     */
    public CompletableFuture<ItemResponse> read(StorePosition after, Duration age, Duration wait) {
        long milliseconds = Math.min(MAX_WAIT_MILLISECONDS, Math.max(0, wait.toMillis()));
        CompletableFuture<ItemResponse> response = new CompletableFuture<>();
        mLoop.execute(
                () -> {
                    long end = mTicker.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
                    Reader reader = new Reader(after, end, response);
                    StoreCopy copy = mReplica.copy();
                    boolean news =
                            copy.position().isAfter(after)
                                    || age.toNanos() - copy.age() >= MIN_REFRESH_NANOSECONDS;
                    if ((mReplica.isInitialized() && news) || mReaders.size() >= MAX_READERS) {
                        respond(reader);
                    } else {
                        mReaders.add(reader);
                    }
                });
        return response;
    }

    /**
     * Answers all waiting readers if the copy has become newer by the response of a source. Nodes
     * that read from each other would otherwise wake each other without end.
     */
    public void onSourceResponse() {
        mEncodedBatches.clear();
        StoreCopy copy = mReplica.copy();
        long confirmed = mTicker.nanoTime() - copy.age();
        boolean newer =
                !copy.position().equals(mPosition)
                        || confirmed - mConfirmedNanoseconds >= MIN_REFRESH_NANOSECONDS;
        if (mReplica.isInitialized() && newer) {
            mPosition = copy.position();
            mConfirmedNanoseconds = confirmed;
            respondToAll();
        }
    }

    /** Answers the readers whose wait has ended, or all if the copy has just become outdated. */
    public void tick() {
        boolean outdated = mCurrent && !mReplica.isCurrent();
        mCurrent = mReplica.isCurrent();
        if (outdated) {
            respondToAll();
            return;
        }
        long now = mTicker.nanoTime();
        List<Reader> waiting = new ArrayList<>();
        List<Reader> ended = new ArrayList<>();
        for (Reader reader : mReaders) {
            (now - reader.endNanoseconds() < 0 ? waiting : ended).add(reader);
        }
        mReaders = waiting;
        ended.forEach(this::respond);
    }

    private void respondToAll() {
        List<Reader> readers = mReaders;
        mReaders = new ArrayList<>();
        readers.forEach(this::respond);
    }

    private void respond(Reader reader) {
        if (!mReplica.isInitialized()) {
            reader.response()
                    .completeExceptionally(
                            FoxtailmoorException.of(
                                    ErrorKind.NOT_READY, "not all items have been read yet"));
            return;
        }
        // A kept batch states the recovery grace of the time of its encoding.
        boolean recovering = !mReplica.copy().recoveryGrace().isZero();
        if (recovering || mEncodedBatches.size() >= MAX_ENCODED_BATCHES) {
            mEncodedBatches.clear();
        }
        try {
            ByteString batch = mEncodedBatches.computeIfAbsent(reader.after(), this::encodeAfter);
            // Rounded up, so that an age above the limit is not passed on as one at the limit.
            long age =
                    (mReplica.copy().age() + NANOSECONDS_PER_MILLISECOND - 1)
                            / NANOSECONDS_PER_MILLISECOND;
            reader.response()
                    .complete(
                            ItemResponse.newBuilder()
                                    .setSourceAgeMilliseconds(age)
                                    .setBatch(batch)
                                    .build());
        } catch (RuntimeException e) {
            reader.response().completeExceptionally(e);
        }
    }

    private ByteString encodeAfter(StorePosition after) {
        StoreCopy copy = mReplica.copy();
        return StoreItemBatchCodec.encode(copy.batchAfter(after), key -> copy.valueAt(key, after));
    }
}
