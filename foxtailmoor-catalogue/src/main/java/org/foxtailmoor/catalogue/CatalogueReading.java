package org.foxtailmoor.catalogue;

import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.protocol.generated.Entry;

/**
 * Result of reading a catalogue file.
 *
 * @param entries entries in the order of their types; a field with a fault has its empty value
 * @param faults unknown keys, missing values and values of a wrong type
 */
public record CatalogueReading(List<Entry> entries, List<CatalogueFault> faults) {
    /** Copies the lists. */
    public CatalogueReading {
        entries = List.copyOf(entries);
        faults = List.copyOf(faults);
    }

    /**
     * Returns the faults of reading followed by those of {@link CatalogueChecker}. A field that
     * could not be read is reported once.
     */
    public List<CatalogueFault> check() {
        List<CatalogueFault> all = new ArrayList<>(faults);
        for (CatalogueFault fault : CatalogueChecker.check(entries)) {
            if (faults.stream().noneMatch(fault::concernsSameField)) {
                all.add(fault);
            }
        }
        return all;
    }
}
