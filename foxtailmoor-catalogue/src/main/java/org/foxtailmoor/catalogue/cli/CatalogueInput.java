package org.foxtailmoor.catalogue.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.catalogue.CatalogueChecker;
import org.foxtailmoor.catalogue.CatalogueCodec;
import org.foxtailmoor.catalogue.CatalogueFault;
import org.foxtailmoor.catalogue.CatalogueReader;
import org.foxtailmoor.catalogue.CatalogueReading;
import org.foxtailmoor.catalogue.PublishedValues;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Entry;

/** Reads a catalogue from a TOML file or from a directory with published values. */
final class CatalogueInput {
    private CatalogueInput() {}

    /**
     * Returns the entries of a valid catalogue.
     *
     * @param path TOML file, or directory with published values
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID that lists every fault
     */
    static List<Entry> readValid(Path path) {
        CatalogueReading reading = read(path);
        requireNoFaults(path, reading.faults());
        return reading.entries();
    }

    /**
     * Returns the entries and all faults of a catalogue.
     *
     * @param path TOML file, or directory with published values
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID if a value can't be read
     */
    static CatalogueReading read(Path path) {
        if (Files.isDirectory(path)) {
            Document document = PublishedValues.read(path);
            List<CatalogueFault> faults = CatalogueChecker.check(document);
            List<Entry> entries = faults.isEmpty() ? CatalogueCodec.toEntries(document) : List.of();
            return new CatalogueReading(entries, faults);
        }
        CatalogueReading reading = CatalogueReader.read(path);
        return new CatalogueReading(reading.entries(), reading.check());
    }

    /**
     * Returns the entries of a catalogue without checking the entries or the rules between them.
     * For a directory, the manifest and the digests of the parts are verified; for a TOML file, the
     * faults found while reading it are reported.
     *
     * @param path TOML file, or directory with published values
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID if a value can't be read
     */
    static List<Entry> readUnchecked(Path path) {
        if (Files.isDirectory(path)) {
            return CatalogueCodec.toEntries(PublishedValues.read(path));
        }
        CatalogueReading reading = CatalogueReader.read(path);
        requireNoFaults(path, reading.faults());
        return reading.entries();
    }

    private static void requireNoFaults(Path path, List<CatalogueFault> faults) {
        if (faults.isEmpty()) {
            return;
        }
        StringBuilder message = new StringBuilder();
        message.append(path).append(" has ").append(faults.size());
        message.append(faults.size() == 1 ? " fault:" : " faults:");
        faults.forEach(fault -> message.append("\n  ").append(fault));
        throw FoxtailmoorException.of(ErrorKind.CATALOGUE_INVALID, message.toString());
    }
}
