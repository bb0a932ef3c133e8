package org.foxtailmoor.catalogue;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.LimitEntry;
import org.foxtailmoor.protocol.generated.RegionEntry;
import org.foxtailmoor.protocol.generated.RetryEntry;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;

/** Checks the fields of each entry: ids, value ranges and whether referenced entries exist. */
final class EntryChecker {
    private static final int MAXIMUM_CONTACT_LENGTH = 200; // characters
    private static final int MAXIMUM_PREFIX_LENGTH = 1_000; // characters
    private static final Pattern ID = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
    private static final String ID_ALLOWED =
            "1 to 63 of a-z, 0-9, '.', '_' and '-', starting with a letter or digit";
    private static final Pattern METHOD = Pattern.compile("\\*|[A-Z]{1,20}");
    private static final Pattern PREFIX =
            Pattern.compile("(/(?!\\.{1,2}(/|$))[A-Za-z0-9._~!$&'()*+,;=:@%-]+)*/?");

    private final Map<EntryType, Set<String>> mIds = new EnumMap<>(EntryType.class);
    private final List<CatalogueFault> mFaults;

    private EntryChecker(Collection<Entry> entries, List<CatalogueFault> faults) {
        mFaults = faults;
        for (EntryType type : EntryType.values()) {
            mIds.put(type, new HashSet<>());
        }
        for (Entry entry : entries) {
            EntryType.of(entry).ifPresent(type -> mIds.get(type).add(entry.getId()));
        }
    }

    /** Checks each entry and adds its faults to a list. */
    static void check(Collection<Entry> entries, List<CatalogueFault> faults) {
        EntryChecker checker = new EntryChecker(entries, faults);
        for (Entry entry : entries) {
            checker.checkEntry(entry);
        }
    }

    private void checkEntry(Entry entry) {
        checkIdentifier(entry, "id", entry.getId());
        checkReference(entry, "owner", EntryType.OWNER, entry.getOwner());
        EntryType type = EntryType.of(entry).orElse(null);
        if (type == null) {
            addFault(entry, "", "has no body of a known type");
            return;
        }
        if (type.hasClass()) {
            checkReference(entry, "class", EntryType.CLASS, entry.getClassId());
        } else if (!entry.getClassId().isEmpty()) {
            addFault(entry, "class", "must be absent for this type of entry");
        }
        checkBody(entry, type);
    }

    private void checkBody(Entry entry, EntryType type) {
        switch (type) {
            case OWNER -> checkOwner(entry);
            case CLASS -> checkClass(entry, entry.getClassEntry());
            case REGION -> checkRegion(entry, entry.getRegionEntry());
            case SERVICE -> checkService(entry, entry.getServiceEntry());
            case ROUTE -> checkRoute(entry, entry.getRouteEntry());
            case LIMIT -> checkLimit(entry, entry.getLimitEntry());
            case RETRY -> checkRetry(entry, entry.getRetryEntry());
            default -> throw new IllegalStateException("unsupported entry type " + type);
        }
    }

    private void checkOwner(Entry entry) {
        String contact = entry.getOwnerEntry().getContact();
        if (contact.isBlank() || contact.length() > MAXIMUM_CONTACT_LENGTH) {
            addFault(entry, "contact", "must have 1 to " + MAXIMUM_CONTACT_LENGTH + " characters");
        }
    }

    private void checkClass(Entry entry, ClassEntry body) {
        checkRange(entry, ValueRange.WEIGHT, body.getWeight());
        checkRange(entry, ValueRange.QUEUE_LIMIT, body.getQueueLimit());
    }

    private void checkRegion(Entry entry, RegionEntry body) {
        if (body.getZonesList().isEmpty()) {
            addFault(entry, "zones", "must name at least one zone");
        }
        for (String zone : body.getZonesList()) {
            checkIdentifier(entry, "zones", zone);
        }
        Set<String> seen = new HashSet<>();
        for (String fallback : body.getFallbackRegionsList()) {
            checkReference(entry, "fallback_regions", EntryType.REGION, fallback);
            if (fallback.equals(entry.getId()) || !seen.add(fallback)) {
                addFault(entry, "fallback_regions", "must name each other region at most once");
            }
        }
    }

    private void checkService(Entry entry, ServiceEntry body) {
        checkReference(entry, "home_region", EntryType.REGION, body.getHomeRegion());
        checkRange(entry, ValueRange.SLOTS, body.getSlots());
        checkRange(entry, ValueRange.CONNECTIONS, body.getConnections());
        checkRange(entry, ValueRange.CRASH_LIMIT, body.getCrashLimit());
        checkRange(entry, ValueRange.SLOW_START, body.getSlowStartMilliseconds());
    }

    private void checkRoute(Entry entry, RouteEntry body) {
        checkReference(entry, "service", EntryType.SERVICE, body.getServiceId());
        if (!METHOD.matcher(body.getMethod()).matches()) {
            addFault(
                    entry, "method", "\"" + body.getMethod() + "\" is not an HTTP method or \"*\"");
        }
        checkPrefix(entry, body.getPathPrefix());
        checkRange(entry, ValueRange.DEADLINE, body.getDeadlineMilliseconds());
        checkRange(entry, ValueRange.BODY_LIMIT, body.getBodyLimitBytes());
        if (!body.getLimitId().isEmpty()) {
            checkReference(entry, "limit", EntryType.LIMIT, body.getLimitId());
        }
        if (!body.getRetryId().isEmpty()) {
            checkReference(entry, "retry", EntryType.RETRY, body.getRetryId());
        }
    }

    private void checkLimit(Entry entry, LimitEntry body) {
        checkRange(entry, ValueRange.RATE, body.getRatePerSecond());
        checkRange(entry, ValueRange.BURST, body.getBurst());
        checkRange(entry, ValueRange.CONCURRENCY, body.getConcurrency());
    }

    private void checkRetry(Entry entry, RetryEntry body) {
        checkRange(entry, ValueRange.ATTEMPTS, body.getAttempts());
        checkRange(entry, ValueRange.BUDGET, body.getBudgetPercent());
        checkRange(entry, ValueRange.BASE_BACKOFF, body.getBaseBackoffMilliseconds());
    }

    private void checkPrefix(Entry entry, String prefix) {
        boolean valid =
                !prefix.isEmpty()
                        && prefix.length() <= MAXIMUM_PREFIX_LENGTH
                        && PREFIX.matcher(prefix).matches();
        if (!valid) {
            addFault(
                    entry,
                    "path_prefix",
                    "\"" + prefix + "\" is not a path of whole segments that starts with \"/\"");
        }
    }

    private void checkIdentifier(Entry entry, String field, String identifier) {
        if (!ID.matcher(identifier).matches()) {
            addFault(entry, field, "\"" + identifier + "\" must be " + ID_ALLOWED);
        }
    }

    private void checkReference(Entry entry, String field, EntryType type, String id) {
        if (id.isEmpty()) {
            addFault(entry, field, "missing, must be the id of a " + type.label());
        } else if (!mIds.get(type).contains(id)) {
            addFault(entry, field, "there is no " + type.label() + " \"" + id + "\"");
        }
    }

    private void checkRange(Entry entry, ValueRange range, int unsignedValue) {
        long value = Integer.toUnsignedLong(unsignedValue);
        if (!range.contains(value)) {
            addFault(entry, range.field(), value + " must be " + range.describe());
        }
    }

    private void addFault(Entry entry, String field, String message) {
        mFaults.add(CatalogueFault.of(entry, field, message));
    }
}
