package org.foxtailmoor.core.source;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Function;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.protocol.generated.ItemBatch;
import org.foxtailmoor.protocol.generated.ItemChange;
import org.foxtailmoor.protocol.generated.ItemDelta;

/** Converts batches of store items to and from deflated messages. */
public final class StoreItemBatchCodec {
    /**
     * Maximum size of a batch in bytes. Applies to the message before it is deflated and to the sum
     * of the items' values.
     */
    public static final int MAX_BATCH_BYTES = 16 * 1_024 * 1_024;

    /** Size in bytes above which a value is sent as a delta if the receiver has a base. */
    public static final int DELTA_THRESHOLD_BYTES = 4_096;

    private static final int DEFLATE_LEVEL = 3;
    private static final int BUFFER_BYTES = 16_384;
    private static final Duration ROUND_UP_TO_MILLISECOND = Duration.ofNanos(999_999);

    private StoreItemBatchCodec() {}

    /**
     * Encodes a batch. The recovery grace is rounded up to milliseconds.
     *
     * @param batch batch to encode, not null
     * @param baseItems returns the version of an item that the receiver is believed to hold, by
     *     key, or null if none is known
     * @throws IllegalArgumentException if the batch exceeds {@link #MAX_BATCH_BYTES}
     */
    public static ByteString encode(StoreItemBatch batch, Function<String, StoreItem> baseItems) {
        Objects.requireNonNull(baseItems, "baseItems");
        ItemBatch.Builder message =
                ItemBatch.newBuilder()
                        .setRevision(batch.position().revision())
                        .setEra(batch.position().era())
                        .setComplete(batch.complete())
                        .setSkippedAfter(batch.skipped().after().revision())
                        .setSkippedBefore(batch.skipped().before().revision())
                        .setRecoveryGraceMilliseconds(
                                (int)
                                        batch.recoveryGrace()
                                                .plus(ROUND_UP_TO_MILLISECOND)
                                                .toMillis());
        long valueBytes = 0;
        for (StoreItem item : batch.items()) {
            valueBytes += item.isRemoved() ? 0 : item.value().size();
            requireWithinLimit(valueBytes);
            message.addItems(toChange(item, baseItems));
        }
        for (StoreItem item : batch.ignored()) {
            valueBytes += item.value().size();
            requireWithinLimit(valueBytes);
            message.addIgnored(toChange(item, key -> null));
        }
        ItemBatch built = message.build();
        requireWithinLimit(built.getSerializedSize());
        return deflate(built.toByteArray());
    }

    /** Returns a version of an item that the receiver holds or has held, or null. */
    @FunctionalInterface
    public interface BaseItems {
        /** Returns the state of an item with exactly a position, or null if it is not known. */
        StoreItem stateOf(String key, StorePosition position);
    }

    /**
     * Decodes a batch whose deltas are based on the held items; see {@link #decode(ByteString,
     * Function, BaseItems)}.
     */
    public static StoreItemBatch decode(ByteString bytes, Function<String, StoreItem> heldItems) {
        Objects.requireNonNull(heldItems, "heldItems");
        return decode(
                bytes,
                heldItems,
                (key, position) -> {
                    StoreItem held = heldItems.apply(key);
                    return held != null && held.position().equals(position) ? held : null;
                });
    }

    /**
     * Decodes a batch. A change that is not newer than the held item of the same era is skipped; in
     * a complete batch and in one whose sender has skipped positions, the held item takes its
     * place, so that no existing item is missing.
     *
     * @param bytes result of {@link #encode}, not null
     * @param heldItems returns the version of an item that the receiver holds, by key, or null if
     *     it holds none
     * @param baseItems returns the bases of deltas, not null; the receiver may hold a later version
     *     than at the time of its request
     * @throws FoxtailmoorException of kind PLATFORM_HISTORY_LOST if the receiver does not hold the
     *     base of a delta, of kind PLATFORM_UNAVAILABLE if the message is malformed or exceeds
     *     {@link #MAX_BATCH_BYTES}
     */
    public static StoreItemBatch decode(
            ByteString bytes, Function<String, StoreItem> heldItems, BaseItems baseItems) {
        Objects.requireNonNull(heldItems, "heldItems");
        Objects.requireNonNull(baseItems, "baseItems");
        ItemBatch message = parse(inflate(bytes));
        StorePosition position = new StorePosition(message.getEra(), message.getRevision());
        List<StoreItem> items = new ArrayList<>(message.getItemsCount());
        int remainingBytes = MAX_BATCH_BYTES;
        for (ItemChange change : message.getItemsList()) {
            requireValid(change);
            StoreItem held = heldItems.apply(change.getKey());
            StorePosition changed = positionOf(change);
            if (held == null
                    || !changed.isInEraOf(held.position())
                    || changed.isAfter(held.position())) {
                StoreItem item = toItem(change, baseItems, remainingBytes);
                remainingBytes -= item.isRemoved() ? 0 : item.value().size();
                items.add(item);
            } else if (message.getComplete()
                    || message.getSkippedBefore() > 0 && !change.getRemoved()) {
                items.add(held);
            }
        }
        List<StoreItem> ignored = new ArrayList<>(message.getIgnoredCount());
        for (ItemChange change : message.getIgnoredList()) {
            if (change.getContentCase() != ItemChange.ContentCase.VALUE) {
                throw malformed(change.getKey() + " is ignored and has no value", null);
            }
            requireValid(change);
            ignored.add(toItem(change, baseItems, remainingBytes));
            remainingBytes -= change.getValue().size();
        }
        return new StoreItemBatch(
                items,
                position,
                message.getComplete(),
                Duration.ofMillis(message.getRecoveryGraceMilliseconds()),
                skippedOf(message),
                ignored);
    }

    /** The skipped positions are of the era of the batch. */
    private static StoreItemBatch.Skipped skippedOf(ItemBatch message) {
        return message.getSkippedBefore() == 0
                ? StoreItemBatch.Skipped.NONE
                : new StoreItemBatch.Skipped(
                        new StorePosition(message.getEra(), message.getSkippedAfter()),
                        new StorePosition(message.getEra(), message.getSkippedBefore()));
    }

    private static StorePosition positionOf(ItemChange change) {
        return new StorePosition(change.getEra(), change.getRevision());
    }

    private static ItemChange toChange(StoreItem item, Function<String, StoreItem> baseItems) {
        ItemChange.Builder change =
                ItemChange.newBuilder()
                        .setKey(item.key())
                        .setRevision(item.position().revision())
                        .setEra(item.position().era());
        if (item.isRemoved()) {
            return change.setRemoved(true).build();
        }
        ItemDelta delta = toDelta(item, baseItems);
        return delta == null
                ? change.setValue(item.value()).build()
                : change.setDelta(delta).build();
    }

    /** Returns the delta to send in place of a value, or null if the value is to be sent. */
    private static ItemDelta toDelta(StoreItem item, Function<String, StoreItem> baseItems) {
        if (item.value().size() <= DELTA_THRESHOLD_BYTES) {
            return null;
        }
        StoreItem base = baseItems.apply(item.key());
        if (base == null || base.isRemoved() || !base.position().isInEraOf(item.position())) {
            return null;
        }
        ItemDelta delta =
                ItemDelta.newBuilder()
                        .setBaseRevision(base.position().revision())
                        .setBaseEra(base.position().era())
                        .setEdits(ByteDelta.encode(base.value(), item.value()))
                        .build();
        return delta.getSerializedSize() < item.value().size() ? delta : null;
    }

    private static StoreItem toItem(ItemChange change, BaseItems baseItems, int maxBytes) {
        return switch (change.getContentCase()) {
            case REMOVED -> StoreItem.removed(change.getKey(), positionOf(change));
            case VALUE -> {
                if (change.getValue().size() > maxBytes) {
                    throw malformed("the values exceed " + MAX_BATCH_BYTES + " bytes", null);
                }
                yield new StoreItem(change.getKey(), positionOf(change), change.getValue());
            }
            case DELTA -> {
                ItemDelta delta = change.getDelta();
                StorePosition position =
                        new StorePosition(delta.getBaseEra(), delta.getBaseRevision());
                StoreItem base = baseItems.stateOf(change.getKey(), position);
                if (base == null || base.isRemoved()) {
                    throw FoxtailmoorException.of(
                            ErrorKind.PLATFORM_HISTORY_LOST,
                            "revision "
                                    + position
                                    + " of "
                                    + change.getKey()
                                    + " is needed as base and not held");
                }
                ByteString value = ByteDelta.apply(base.value(), delta.getEdits(), maxBytes);
                yield new StoreItem(change.getKey(), positionOf(change), value);
            }
            case CONTENT_NOT_SET -> throw malformed(change.getKey() + " has no content", null);
        };
    }

    private static ItemBatch parse(ByteString bytes) {
        ItemBatch message;
        try {
            message = ItemBatch.parseFrom(bytes);
        } catch (InvalidProtocolBufferException e) {
            throw malformed(e.getMessage(), e);
        }
        if (message.getRevision() < 0) {
            throw malformed("revision out of range", null);
        }
        if (message.getRecoveryGraceMilliseconds() < 0) {
            throw malformed("recovery grace out of range", null);
        }
        if (message.getSkippedAfter() < 0
                || message.getSkippedBefore() < message.getSkippedAfter()) {
            throw malformed("skipped revisions out of range", null);
        }
        return message;
    }

    private static void requireValid(ItemChange change) {
        if (change.getRevision() < 0) {
            throw malformed("revision of " + change.getKey() + " out of range", null);
        }
        if (change.getDelta().getBaseRevision() < 0) {
            throw malformed("base of " + change.getKey() + " out of range", null);
        }
        boolean withoutContent =
                switch (change.getContentCase()) {
                    case REMOVED -> !change.getRemoved();
                    case VALUE, DELTA -> false;
                    case CONTENT_NOT_SET -> true;
                };
        if (withoutContent) {
            throw malformed(change.getKey() + " has no content", null);
        }
    }

    private static void requireWithinLimit(long bytes) {
        if (bytes > MAX_BATCH_BYTES) {
            throw new IllegalArgumentException(
                    "batch of " + bytes + " bytes exceeds the limit of " + MAX_BATCH_BYTES);
        }
    }

    private static ByteString deflate(byte[] bytes) {
        Deflater deflater = new Deflater(DEFLATE_LEVEL, true);
        try {
            deflater.setInput(bytes);
            deflater.finish();
            ByteString.Output output = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!deflater.finished()) {
                output.write(buffer, 0, deflater.deflate(buffer));
            }
            return output.toByteString();
        } finally {
            deflater.end();
        }
    }

    private static ByteString inflate(ByteString bytes) {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(bytes.toByteArray());
            ByteString.Output output = ByteString.newOutput();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && !inflater.finished()) {
                    throw malformed("the deflated stream is cut off", null);
                }
                if (count > MAX_BATCH_BYTES - output.size()) {
                    throw malformed("inflates to over " + MAX_BATCH_BYTES + " bytes", null);
                }
                output.write(buffer, 0, count);
            }
            if (inflater.getRemaining() > 0) {
                throw malformed("bytes follow the deflated stream", null);
            }
            return output.toByteString();
        } catch (DataFormatException e) {
            throw malformed(e.getMessage(), e);
        } finally {
            inflater.end();
        }
    }

    private static FoxtailmoorException malformed(String reason, Throwable cause) {
        return FoxtailmoorException.of(
                ErrorKind.PLATFORM_UNAVAILABLE, "malformed batch of store items: " + reason, cause);
    }
}
