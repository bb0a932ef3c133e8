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
 * Builds routing snapshots from store items. If a catalogue cannot be decoded, the last valid one
 * stays in force. An instance that cannot be decoded is left out and does not affect the others.
 * Confined to the control loop.
 */
public final class StoreSnapshotBuilder {
    /** Receives the changes that result from item updates. */
    public interface Listener {
        /** Called when a catalogue version is accepted; the next snapshot contains it. */
        void onCatalogue(String label, StorePosition position);

        /** Called when an instance is added or changed. */
        void onInstance(Instance instance, StorePosition position);

        /** Called when an instance is removed. */
        void onInstanceGone(String key);

        /** Called when the evacuation of an availability zone begins or ends. */
        void onEvacuation(String zone, boolean evacuated);

        /** Called when an item cannot be decoded. */
        void onUndecodable(String key, StorePosition position, String reason);
    }

    private record InstanceRecord(Instance instance, StorePosition position) {}

    private final ItemDecoder mDecoder;
    private final Listener mListener;
    private final Map<String, InstanceRecord> mInstances = new TreeMap<>();
    private final Map<String, String> mEvacuatedZones = new TreeMap<>();
    private CatalogueSnapshot mCatalogue = CatalogueSnapshot.EMPTY;
    private String mCatalogueLabel = "";
    private String mCatalogueKey;
    private long mSnapshotNumber;
    private RoutingSnapshot mSnapshot;

    /** Creates a builder without catalogue and instances; no argument may be null. */
    public StoreSnapshotBuilder(ItemDecoder decoder, Listener listener) {
        mDecoder = Objects.requireNonNull(decoder, "decoder");
        mListener = Objects.requireNonNull(listener, "listener");
    }

    /**
     * Applies a change of an item.
     *
     * @param key key of the item, not null
     * @param item current state of the item, or null if it was removed
     * @return whether a new snapshot must be built
     */
    public boolean update(String key, StoreItem item) {
        if (item == null) {
            return removeInstance(key) | endEvacuation(key);
        }
        ItemDecoder.Content content;
        try {
            content = mDecoder.decode(item);
        } catch (FoxtailmoorException e) {
            mListener.onUndecodable(key, item.position(), e.getMessage());
            return removeInstance(key);
        } catch (RuntimeException e) {
            // An item that the decoder does not expect must not stop the other ones.
            mListener.onUndecodable(key, item.position(), e.toString());
            return removeInstance(key);
        }
        if (content instanceof ItemDecoder.Content.Catalogue catalogue) {
            return applyCatalogue(item, catalogue);
        }
        if (content instanceof ItemDecoder.Content.Target target) {
            return applyInstance(item, target.instance());
        }
        if (content instanceof ItemDecoder.Content.Evacuation evacuation) {
            return beginEvacuation(key, evacuation.zone());
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

    /** Returns the operators' name of the catalogue version, empty before the first catalogue. */
    public String catalogueLabel() {
        return mCatalogueLabel;
    }

    /** Returns the instances that are known, in any order. */
    public List<Instance> instances() {
        return mInstances.values().stream().map(InstanceRecord::instance).toList();
    }

    /** Builds a snapshot of the current state that is newer than every earlier one. */
    public RoutingSnapshot snapshot() {
        mSnapshotNumber++;
        // The platform reuses addresses: of two instances with one address, the last written wins.
        Map<String, InstanceRecord> byAddress = new HashMap<>();
        for (InstanceRecord known : mInstances.values()) {
            String address = known.instance().getAddress() + ':' + known.instance().getNodePort();
            byAddress.merge(address, known, (a, b) -> b.position().isAfter(a.position()) ? b : a);
        }
        List<Instance> instances =
                byAddress.values().stream().map(InstanceRecord::instance).toList();
        DocumentVersion version = versionOf(mSnapshotNumber);
        if (mSnapshot == null) {
            mSnapshot = RoutingSnapshot.of(mCatalogue, version, instances);
        } else if (mSnapshot.catalogueVersion().equals(mCatalogue.version())) {
            mSnapshot = mSnapshot.withInstances(version, instances);
        } else {
            mSnapshot = mSnapshot.withCatalogue(mCatalogue, version, instances);
        }
        mSnapshot = mSnapshot.withEvacuatedZones(mEvacuatedZones.values());
        return mSnapshot;
    }

    private boolean beginEvacuation(String key, String zone) {
        if (zone.equals(mEvacuatedZones.put(key, zone))) {
            return false;
        }
        mListener.onEvacuation(zone, true);
        return true;
    }

    private boolean endEvacuation(String key) {
        String zone = mEvacuatedZones.remove(key);
        if (zone == null) {
            return false;
        }
        mListener.onEvacuation(zone, false);
        return true;
    }

    private boolean applyCatalogue(StoreItem item, ItemDecoder.Content.Catalogue catalogue) {
        DocumentVersion version = versionOf(catalogue.number());
        if (DocumentVersions.compare(version, mCatalogue.version()) <= 0) {
            return false;
        }
        mCatalogue = CatalogueSnapshot.of(version, catalogue.entries());
        mCatalogueKey = item.key();
        mCatalogueLabel = catalogue.label();
        mListener.onCatalogue(catalogue.label(), item.position());
        return true;
    }

    private boolean applyInstance(StoreItem item, Instance instance) {
        InstanceRecord before =
                mInstances.put(item.key(), new InstanceRecord(instance, item.position()));
        boolean same = before != null && before.instance().equals(instance);
        if (!same) {
            mListener.onInstance(instance, item.position());
        }
        return !same;
    }

    private boolean removeInstance(String key) {
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
