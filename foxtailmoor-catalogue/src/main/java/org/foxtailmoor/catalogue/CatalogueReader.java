package org.foxtailmoor.catalogue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.LimitEntry;
import org.foxtailmoor.protocol.generated.OwnerEntry;
import org.foxtailmoor.protocol.generated.RegionEntry;
import org.foxtailmoor.protocol.generated.RetryEntry;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/**
 * Reads a catalogue in TOML, which has one array of tables per type of entry.
 *
 * <pre>{@code
 * CatalogueReading reading = CatalogueReader.read(Path.of("catalogue.toml"));
 * List<CatalogueFault> faults = reading.check();
 * }</pre>
 */
public final class CatalogueReader {
    private final JsonNode mRoot;
    private final List<Entry> mEntries = new ArrayList<>();
    private final List<CatalogueFault> mFaults = new ArrayList<>();

    private CatalogueReader(JsonNode root) {
        mRoot = root;
    }

    /**
     * Reads a file.
     *
     * @param path TOML file, not null
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID if it can't be read or is not TOML
     */
    public static CatalogueReading read(Path path) {
        try {
            return read(path.toString(), Files.readString(path));
        } catch (IOException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID, "cannot read catalogue file " + path, e);
        }
    }

    /**
     * Reads a catalogue from a string.
     *
     * @param source name of the source for error messages
     * @param text TOML
     * @throws FoxtailmoorException of kind CATALOGUE_INVALID if it is not TOML
     */
    public static CatalogueReading read(String source, String text) {
        CatalogueReader reader = new CatalogueReader(parse(source, text));
        reader.readTypes();
        reader.reportUnknownTypes();
        return new CatalogueReading(reader.mEntries, reader.mFaults);
    }

    private static JsonNode parse(String source, String text) {
        try {
            return new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID,
                    source + " is not valid TOML: " + e.getOriginalMessage(),
                    e);
        }
    }

    private void readTypes() {
        for (EntryType type : EntryType.values()) {
            JsonNode tables = mRoot.get(type.label());
            if (tables == null) {
                continue;
            }
            if (!tables.isArray()) {
                addFault(type.label(), "must be written [[" + type.label() + "]]");
                continue;
            }
            int position = 0;
            for (JsonNode table : tables) {
                position++;
                readEntry(type, position, table);
            }
        }
    }

    private void readEntry(EntryType type, int position, JsonNode node) {
        if (!node.isObject()) {
            addFault(type.label(), node + " must be a table");
            return;
        }
        EntryTable table = new EntryTable(type, position, node, mFaults);
        Entry.Builder entry = Entry.newBuilder();
        entry.setId(table.readString("id"));
        entry.setOwner(table.readString("owner"));
        if (type.hasClass()) {
            entry.setClassId(table.readString("class"));
        }
        readBody(type, table, entry);
        table.reportUnknownKeys();
        mEntries.add(entry.build());
    }

    private static void readBody(EntryType type, EntryTable table, Entry.Builder entry) {
        switch (type) {
            case OWNER -> readOwner(table, entry);
            case CLASS -> entry.setClassEntry(readClass(table));
            case REGION -> entry.setRegionEntry(readRegion(table));
            case SERVICE -> entry.setServiceEntry(readService(table));
            case ROUTE -> entry.setRouteEntry(readRoute(table));
            case LIMIT -> entry.setLimitEntry(readLimit(table));
            case RETRY -> entry.setRetryEntry(readRetry(table));
            default -> throw new IllegalStateException("unsupported entry type " + type);
        }
    }

    private static void readOwner(EntryTable table, Entry.Builder entry) {
        if (entry.getOwner().isEmpty()) {
            entry.setOwner(entry.getId());
        }
        entry.setOwnerEntry(OwnerEntry.newBuilder().setContact(table.readString("contact")));
    }

    private static ClassEntry readClass(EntryTable table) {
        return ClassEntry.newBuilder()
                .setWeight(table.readNumber(ValueRange.WEIGHT))
                .setQueueLimit(table.readNumber(ValueRange.QUEUE_LIMIT))
                .build();
    }

    private static RegionEntry readRegion(EntryTable table) {
        return RegionEntry.newBuilder()
                .addAllZones(table.readStrings("zones"))
                .addAllFallbackRegions(table.readStrings("fallback_regions"))
                .setHoldsSource(table.readBoolean("holds_source"))
                .build();
    }

    private static ServiceEntry readService(EntryTable table) {
        return ServiceEntry.newBuilder()
                .setHomeRegion(table.readString("home_region"))
                .setSlots(table.readNumber(ValueRange.SLOTS))
                .setConnections(table.readNumber(ValueRange.CONNECTIONS))
                .setCrashLimit(table.readNumber(ValueRange.CRASH_LIMIT))
                .setSlowStartMilliseconds(table.readNumber(ValueRange.SLOW_START))
                .build();
    }

    private static RouteEntry readRoute(EntryTable table) {
        return RouteEntry.newBuilder()
                .setServiceId(table.readString("service"))
                .setMethod(table.readString("method"))
                .setPathPrefix(table.readString("path_prefix"))
                .setIdempotent(table.readBoolean("idempotent"))
                .setRequireKey(table.readBoolean("require_key"))
                .setDeadlineMilliseconds(table.readNumber(ValueRange.DEADLINE))
                .setBodyLimitBytes(table.readNumber(ValueRange.BODY_LIMIT))
                .setLimitId(table.readString("limit"))
                .setRetryId(table.readString("retry"))
                .build();
    }

    private static LimitEntry readLimit(EntryTable table) {
        return LimitEntry.newBuilder()
                .setRatePerSecond(table.readNumber(ValueRange.RATE))
                .setBurst(table.readNumber(ValueRange.BURST))
                .setConcurrency(table.readNumber(ValueRange.CONCURRENCY, 0))
                .build();
    }

    private static RetryEntry readRetry(EntryTable table) {
        return RetryEntry.newBuilder()
                .setAttempts(table.readNumber(ValueRange.ATTEMPTS))
                .setBudgetPercent(table.readNumber(ValueRange.BUDGET))
                .setBaseBackoffMilliseconds(table.readNumber(ValueRange.BASE_BACKOFF))
                .build();
    }

    private void reportUnknownTypes() {
        Set<String> known = new HashSet<>();
        for (EntryType type : EntryType.values()) {
            known.add(type.label());
        }
        mRoot.fieldNames()
                .forEachRemaining(
                        key -> {
                            if (!known.contains(key)) {
                                addFault(key, "unknown key");
                            }
                        });
    }

    private void addFault(String key, String message) {
        mFaults.add(new CatalogueFault("catalogue", "", "", key, message));
    }
}
