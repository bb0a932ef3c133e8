package org.foxtailmoor.core.admission;

import io.netty.util.concurrent.Ticker;
import java.util.LinkedHashSet;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which senders may send the next part of a long request body, so that the bodies on their
 * way to this node never fill its incoming link for long. Whatever else arrives over the link, such
 * as configurations, short requests and connections, is delayed by no more than that. Bodies are
 * received in the order of their arrival. Confined to the data loop.
 */
public final class BodyTransfers {
    /** Largest part of a body that is granted at once. */
    public static final int GRANT_BYTES = 65_536;

    /** Room below which senders wait, because each grant is a message. */
    private static final int MIN_GRANT_BYTES = 16_384;

    /** Time in which the link carries all granted bytes; must exceed a round trip. */
    static final long QUEUEING_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(100);

    /** With two grants, one part arrives while the grant of the next one is on its way. */
    private static final int MIN_GRANTS = 2;

    /** A sender that sends nothing for this long does not hold up the other ones. */
    private static final long STALL_NANOSECONDS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final double BYTES_PER_MEGABIT = 125_000;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    /** Sender of a body. */
    public interface Sender {
        /** Allows the sender to send more bytes of the body. */
        void grant(int bytes);
    }

    /** One body that is being received. */
    public final class Transfer {
        private final Sender mSender;
        private int mWaitingBytes;
        private int mGrantedBytes;
        private long mProgressNanoseconds;

        private Transfer(int bytes, Sender sender) {
            mWaitingBytes = bytes;
            mSender = sender;
        }

        /** Records that granted bytes have arrived. */
        public void received(int bytes) {
            int arrived = Math.min(bytes, mGrantedBytes);
            mGrantedBytes -= arrived;
            mMissingBytes -= arrived;
            mProgressNanoseconds = mTicker.nanoTime();
            if (mGrantedBytes == 0) {
                mGranted.remove(this);
            }
            grantWaiting();
        }

        /** Ends the transfer, whether or not the whole body has arrived. */
        public void end() {
            if (mTransfers.remove(this)) {
                mGranted.remove(this);
                mMissingBytes -= mWaitingBytes + mGrantedBytes;
                grantWaiting();
            }
        }

        private boolean canBeGranted() {
            return mWaitingBytes > 0 && mGrantedBytes < MIN_GRANTS * GRANT_BYTES;
        }

        private void grant(long room) {
            int bytes = (int) Math.min(room, Math.min(GRANT_BYTES, mWaitingBytes));
            mWaitingBytes -= bytes;
            mGrantedBytes += bytes;
            mProgressNanoseconds = mTicker.nanoTime();
            mGranted.add(this);
            mSender.grant(bytes);
        }

        private boolean isStalled() {
            return mTicker.nanoTime() - mProgressNanoseconds >= STALL_NANOSECONDS;
        }
    }

    private final Ticker mTicker;
    private final double mBytesPerSecond;
    private final long mLimitBytes;
    private final Set<Transfer> mTransfers = new LinkedHashSet<>();
    private final Set<Transfer> mGranted = new LinkedHashSet<>();
    private long mMissingBytes;

    private BodyTransfers(Ticker ticker, double megabitsPerSecond) {
        mTicker = Objects.requireNonNull(ticker, "ticker");
        mBytesPerSecond = megabitsPerSecond * BYTES_PER_MEGABIT;
        double queueingSeconds = QUEUEING_NANOSECONDS / NANOSECONDS_PER_SECOND;
        mLimitBytes =
                isLimited()
                        ? (long)
                                Math.max(
                                        MIN_GRANTS * GRANT_BYTES, mBytesPerSecond * queueingSeconds)
                        : Long.MAX_VALUE;
    }

    /**
     * Creates an object without transfers.
     *
     * @param ticker clock, not null
     * @param megabitsPerSecond rate of the incoming link, 0 if it is unknown or need not be shared
     * @throws IllegalArgumentException if the rate is negative
     */
    public static BodyTransfers of(Ticker ticker, double megabitsPerSecond) {
        if (!(megabitsPerSecond >= 0)) {
            throw new IllegalArgumentException("negative rate " + megabitsPerSecond);
        }
        return new BodyTransfers(ticker, megabitsPerSecond);
    }

    /** Returns whether senders must wait for grants. */
    public boolean isLimited() {
        return mBytesPerSecond > 0;
    }

    /**
     * Starts a transfer. The sender may be called before this method returns.
     *
     * @param bytes length of the body
     * @param sender receives the grants, not null
     */
    public Transfer start(int bytes, Sender sender) {
        Transfer transfer = new Transfer(bytes, Objects.requireNonNull(sender, "sender"));
        mTransfers.add(transfer);
        mMissingBytes += bytes;
        grantWaiting();
        return transfer;
    }

    /**
     * Returns the time in nanoseconds until a body that is started now has arrived, if nothing else
     * uses the link.
     */
    public long expectedNanoseconds(int bytes) {
        if (!isLimited()) {
            return 0;
        }
        return (long) ((mMissingBytes + bytes) / mBytesPerSecond * NANOSECONDS_PER_SECOND);
    }

    /** Returns the number of bodies that have not completely arrived. */
    public int size() {
        return mTransfers.size();
    }

    /** Grants parts in place of those that stalled senders hold. */
    public void tick() {
        grantWaiting();
    }

    private void grantWaiting() {
        long room = mLimitBytes - grantedBytes();
        Transfer next = nextWaiting(room);
        while (next != null) {
            next.grant(room);
            room = mLimitBytes - grantedBytes();
            next = nextWaiting(room);
        }
    }

    private Transfer nextWaiting(long room) {
        if (room < MIN_GRANT_BYTES) {
            return null;
        }
        for (Transfer transfer : mTransfers) {
            if (transfer.canBeGranted()) {
                return transfer;
            }
        }
        return null;
    }

    private long grantedBytes() {
        long granted = 0;
        for (Transfer transfer : mGranted) {
            granted += transfer.isStalled() ? 0 : transfer.mGrantedBytes;
        }
        return granted;
    }
}
