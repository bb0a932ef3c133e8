package org.foxtailmoor.core.source;

import java.util.List;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.Instance;

/** Decodes the items of a store into what the product knows. */
public interface ItemDecoder {
    /** What an item says. */
    sealed interface Content {
        /**
         * Whole catalogue.
         *
         * @param label version as the operators name it
         * @param entries all entries
         */
        record Catalogue(String label, List<Entry> entries) implements Content {
            /** Copies the entries. */
            public Catalogue {
                entries = List.copyOf(entries);
            }
        }

        /** One target with its node. */
        record Target(Instance instance) implements Content {}

        /** An item that does not concern the product. */
        record Other() implements Content {}
    }

    /**
     * Decodes an item.
     *
     * @param item item that was not removed, not null
     * @throws org.foxtailmoor.base.FoxtailmoorException of kind CATALOGUE_INVALID that says what is
     *     wrong with the item
     */
    Content decode(StoreItem item);
}
