package org.foxtailmoor.catalogue;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.LimitEntry;
import org.foxtailmoor.protocol.generated.RegionEntry;
import org.foxtailmoor.protocol.generated.RetryEntry;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/** Writes entries as the TOML that {@link CatalogueReader} reads. */
public final class EntryFormatter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final Comparator<Entry> ORDER =
            Comparator.<Entry>comparingInt(entry -> entry.getBodyCase().getNumber())
                    .thenComparing(Entry::getId);

    private EntryFormatter() {}

    /**
     * Returns TOML with one table per entry, sorted by type and id. Entries without a body of a
     * known type are written as comments.
     *
     * @param entries entries in any order, not null
     */
    public static String toToml(Collection<Entry> entries) {
        List<Entry> sorted = new ArrayList<>(entries);
        sorted.sort(ORDER);
        StringBuilder text = new StringBuilder();
        for (Entry entry : sorted) {
            String type = EntryType.of(entry).map(EntryType::label).orElse(null);
            if (type == null) {
                text.append("# entry of unknown type: ").append(quote(entry.getId())).append('\n');
                continue;
            }
            text.append("[[").append(type).append("]]\n");
            toFields(entry)
                    .forEach(
                            (key, value) ->
                                    text.append(key).append(" = ").append(value).append('\n'));
            text.append('\n');
        }
        return text.toString();
    }

    /**
     * Returns the TOML value of each field of an entry by its key, in output order.
     *
     * @param entry entry, not null
     */
    public static Map<String, String> toFields(Entry entry) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("id", quote(entry.getId()));
        fields.put("owner", quote(entry.getOwner()));
        putReference(fields, "class", entry.getClassId());
        switch (entry.getBodyCase()) {
            case OWNER_ENTRY -> fields.put("contact", quote(entry.getOwnerEntry().getContact()));
            case CLASS_ENTRY -> putClass(fields, entry.getClassEntry());
            case REGION_ENTRY -> putRegion(fields, entry.getRegionEntry());
            case SERVICE_ENTRY -> putService(fields, entry.getServiceEntry());
            case ROUTE_ENTRY -> putRoute(fields, entry.getRouteEntry());
            case LIMIT_ENTRY -> putLimit(fields, entry.getLimitEntry());
            case RETRY_ENTRY -> putRetry(fields, entry.getRetryEntry());
            default -> {
                // An entry of an unknown type has no fields of its own.
            }
        }
        return fields;
    }

    private static void putClass(Map<String, String> fields, ClassEntry body) {
        putNumber(fields, ValueRange.WEIGHT, body.getWeight());
        putNumber(fields, ValueRange.QUEUE_LIMIT, body.getQueueLimit());
    }

    private static void putRegion(Map<String, String> fields, RegionEntry body) {
        fields.put("zones", quote(body.getZonesList()));
        fields.put("fallback_regions", quote(body.getFallbackRegionsList()));
        fields.put("holds_source", Boolean.toString(body.getHoldsSource()));
    }

    private static void putService(Map<String, String> fields, ServiceEntry body) {
        fields.put("home_region", quote(body.getHomeRegion()));
        putNumber(fields, ValueRange.SLOTS, body.getSlots());
        putNumber(fields, ValueRange.CONNECTIONS, body.getConnections());
        putNumber(fields, ValueRange.CRASH_LIMIT, body.getCrashLimit());
        putNumber(fields, ValueRange.SLOW_START, body.getSlowStartMilliseconds());
    }

    private static void putRoute(Map<String, String> fields, RouteEntry body) {
        fields.put("service", quote(body.getServiceId()));
        fields.put("method", quote(body.getMethod()));
        fields.put("path_prefix", quote(body.getPathPrefix()));
        fields.put("idempotent", Boolean.toString(body.getIdempotent()));
        fields.put("require_key", Boolean.toString(body.getRequireKey()));
        putNumber(fields, ValueRange.DEADLINE, body.getDeadlineMilliseconds());
        putNumber(fields, ValueRange.BODY_LIMIT, body.getBodyLimitBytes());
        putReference(fields, "limit", body.getLimitId());
        putReference(fields, "retry", body.getRetryId());
    }

    private static void putLimit(Map<String, String> fields, LimitEntry body) {
        putNumber(fields, ValueRange.RATE, body.getRatePerSecond());
        putNumber(fields, ValueRange.BURST, body.getBurst());
        putNumber(fields, ValueRange.CONCURRENCY, body.getConcurrency());
    }

    private static void putRetry(Map<String, String> fields, RetryEntry body) {
        putNumber(fields, ValueRange.ATTEMPTS, body.getAttempts());
        putNumber(fields, ValueRange.BUDGET, body.getBudgetPercent());
        putNumber(fields, ValueRange.BASE_BACKOFF, body.getBaseBackoffMilliseconds());
    }

    private static void putReference(Map<String, String> fields, String key, String id) {
        if (!id.isEmpty()) {
            fields.put(key, quote(id));
        }
    }

    private static void putNumber(Map<String, String> fields, ValueRange range, int unsigned) {
        fields.put(range.field(), Integer.toUnsignedString(unsigned));
    }

    private static String quote(List<String> texts) {
        List<String> quoted = new ArrayList<>();
        for (String text : texts) {
            quoted.add(quote(text));
        }
        return "[" + String.join(", ", quoted) + "]";
    }

    private static String quote(String text) {
        try {
            // TOML basic strings use the JSON escapes, and also require DEL to be escaped.
            return JSON.writeValueAsString(text).replace("\u007f", "\\u007f");
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a string can always be written as JSON", e);
        }
    }
}
