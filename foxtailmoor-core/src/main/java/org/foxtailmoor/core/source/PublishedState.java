package org.foxtailmoor.core.source;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.routing.RoutingSnapshot;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;

/**
 * Turns items of the store into routing snapshots. A catalogue that can't be decoded leaves the
 * last good one in force; an instance that can't be decoded names no target and holds up no other.
 * Belongs to the control loop.
 */
public final class PublishedState {
    /** Is told what the items change. */
    public interface Listener {
        /** Is called when a catalogue version is about to be in force. */
        void onCatalogue(String label, long revision);

        /** Is called when an instance appears or changes. */
        void onInstance(Instance instance, long revision);

        /** Is called when an instance is gone. */
        void onInstanceGone(String key);

        /** Is called when an item can't be decoded. */
        void onUnreadable(String key, long revision, String reason);
    }

    private record Known(Instance instance, long revision) {}

    private final ItemDecoder mDecoder;
    private final Listener mListener;
    private final Map<String, Known> mInstances = new TreeMap<>();
    private CatalogueSnapshot mCatalogue = CatalogueSnapshot.EMPTY;
    private String mLabel = "";
    private String mCatalogueKey;
    private long mListNumber;

    /** Creates an empty state; no argument may be null. */
    public PublishedState(ItemDecoder decoder, Listener listener) {
        mDecoder = Objects.requireNonNull(decoder, "decoder");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Takes the state of an item that changed.
     *
     * @param key key of the item, not null
     * @param item the item now, or null if it is gone
     * @return whether a new snapshot is needed
     */
    public boolean update(String key, StoreItem item) {
        if (item == null) {
            return forget(key);
        }
        ItemDecoder.Content content;
        try {
            content = mDecoder.decode(item);
        } catch (FoxtailmoorException e) {
            mListener.onUnreadable(key, item.revision(), e.getMessage());
            return forget(key);
        }
        if (content instanceof ItemDecoder.Content.Catalogue catalogue) {
            return takeCatalogue(item, catalogue);
        }
        if (content instanceof ItemDecoder.Content.Target target) {
            return takeInstance(item, target.instance());
        }
        return false;
    }

    /** Returns whether a catalogue has been decoded. */
    public boolean hasCatalogue() {
        return mCatalogueKey != null;
    }

    /** Returns whether any instance is known. */
    public boolean hasInstances() {
        return !mInstances.isEmpty();
    }

    /** Returns the operators' name of the catalogue version, empty before the first. */
    public String catalogueLabel() {
        return mLabel;
    }

    /** Returns a snapshot of what is known now, newer than every earlier one. */
    public RoutingSnapshot snapshot() {
        mListNumber++;
        // An address that two instances name belongs to the one that was written last.
        Map<String, Known> byAddress = new HashMap<>();
        for (Known known : mInstances.values()) {
            String address = known.instance().getAddress() + ':' + known.instance().getNodePort();
            byAddress.merge(address, known, (a, b) -> a.revision() >= b.revision() ? a : b);
        }
        List<Instance> instances = byAddress.values().stream().map(Known::instance).toList();
        return RoutingSnapshot.of(mCatalogue, versionOf(mListNumber), instances);
    }

    private boolean takeCatalogue(StoreItem item, ItemDecoder.Content.Catalogue catalogue) {
        DocumentVersion version = versionOf(item.revision());
        if (DocumentVersions.compare(version, mCatalogue.version()) <= 0) {
            return false;
        }
        mCatalogueKey = item.key();
        mLabel = catalogue.label();
        mCatalogue = CatalogueSnapshot.of(version, catalogue.entries());
        mListener.onCatalogue(catalogue.label(), item.revision());
        return true;
    }

    private boolean takeInstance(StoreItem item, Instance instance) {
        Known before = mInstances.put(item.key(), new Known(instance, item.revision()));
        boolean same = before != null && before.instance().equals(instance);
        if (!same) {
            mListener.onInstance(instance, item.revision());
        }
        return !same;
    }

    private boolean forget(String key) {
        if (mInstances.remove(key) == null) {
            return false;
        }
        mListener.onInstanceGone(key);
        return true;
    }

    private static DocumentVersion versionOf(long number) {
        return DocumentVersion.newBuilder().setNumber(number).build();
    }
}
