package org.foxtailmoor.core.source;

import java.util.List;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.Instance;

/** Decodes store items into catalogues and instances. */
public interface ItemDecoder {
    /** Decoded content of an item. */
    sealed interface Content {
        /**
         * Complete catalogue.
         *
         * @param label operators' name of the version
         * @param number number of the version, by which versions are compared; at least 1
         * @param entries all entries
         */
        record Catalogue(String label, long number, List<Entry> entries) implements Content {
            /** Copies the entries. */
            public Catalogue {
                entries = List.copyOf(entries);
            }
        }

        /** Instance that runs a target and its node. */
        record Target(Instance instance) implements Content {}

        /**
         * Order that the targets of an availability zone get no requests. It holds as long as the
         * item exists.
         */
        record Evacuation(String zone) implements Content {}

        /** Item that is none of the others. */
        record Ignored() implements Content {}
    }

    /**
     * Decodes an item.
     *
     * @param item item with a value, not null
     * @throws org.foxtailmoor.base.FoxtailmoorException of kind CATALOGUE_INVALID with a
     *     description of the fault, if the item cannot be decoded
     */
    Content decode(StoreItem item);
}
