package org.foxtailmoor.core.routing;

import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Holds the snapshot in force and counts the references to each snapshot.
 *
 * <p>Thread-safe. This is the only structure that both event loops of a node share. A replaced
 * snapshot is passed to the drop listener exactly once, after its last user has released it.
 *
 * <pre>{@code
 * SnapshotReference.Use<RoutingSnapshot> use = reference.acquire();
 * try {
 *     route(use.value());
 * } finally {
 *     use.release();
 * }
 * }</pre>
 *
 * @param <T> type of the snapshots
 */
public final class SnapshotReference<T extends Versioned<T>> {
    private final AtomicReference<Use<T>> mCurrent;
    private final Consumer<T> mDropListener;

    private SnapshotReference(T initial, Consumer<T> dropListener) {
        mDropListener = Objects.requireNonNull(dropListener, "dropListener");
        mCurrent = new AtomicReference<>(new Use<>(initial, dropListener));
    }

    /**
     * Creates a reference.
     *
     * @param initial first snapshot in force, not null
     * @param dropListener called once for each replaced snapshot that is no longer in use, on the
     *     thread of the last release or of the publication; not null
     */
    public static <T extends Versioned<T>> SnapshotReference<T> of(
            T initial, Consumer<T> dropListener) {
        return new SnapshotReference<>(initial, dropListener);
    }

    /**
     * Replaces the snapshot in force if the new one is newer.
     *
     * @param snapshot new snapshot, not null
     * @return whether the snapshot is now in force
     */
    public boolean publish(T snapshot) {
        Use<T> next = new Use<>(snapshot, mDropListener);
        while (true) {
            Use<T> current = mCurrent.get();
            if (!snapshot.isNewerThan(current.value())) {
                return false;
            }
            if (mCurrent.compareAndSet(current, next)) {
                current.release();
                return true;
            }
        }
    }

    /** Returns a reference to the snapshot in force, which the caller must release. */
    public Use<T> acquire() {
        while (true) {
            Use<T> current = mCurrent.get();
            if (current.tryRetain()) {
                return current;
            }
        }
    }

    /**
     * Counted reference to one snapshot. The enclosing {@link SnapshotReference} holds one count
     * while the snapshot is in force.
     *
     * @param <T> type of the snapshot
     */
    public static final class Use<T> {
        private final T mValue;
        private final Consumer<T> mDropListener;
        private final AtomicInteger mCount = new AtomicInteger(1);

        private Use(T value, Consumer<T> dropListener) {
            mValue = Objects.requireNonNull(value, "value");
            mDropListener = dropListener;
        }

        /** Returns the snapshot, never null. */
        public T value() {
            return mValue;
        }

        /**
         * Decrements the reference count.
         *
         * @throws IllegalStateException if the count is already 0
         */
        public void release() {
            int remaining = mCount.decrementAndGet();
            if (remaining == 0) {
                mDropListener.accept(mValue);
            } else if (remaining < 0) {
                throw new IllegalStateException("snapshot released more often than acquired");
            }
        }

        private boolean tryRetain() {
            while (true) {
                int count = mCount.get();
                if (count <= 0) {
                    return false;
                }
                if (mCount.compareAndSet(count, count + 1)) {
                    return true;
                }
            }
        }
    }
}
