package org.foxtailmoor.catalogue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.LimitEntry;
import org.foxtailmoor.protocol.generated.RetryEntry;
import org.foxtailmoor.protocol.generated.RouteEntry;

/**
 * Finds what is allowed in a valid catalogue but has no effect or contradicts something else.
 *
 * <p>Routes that hide each other are not among the findings: the longest prefix decides, so that
 * only the same prefix can hide a route, and {@link CatalogueChecker} rejects that.
 */
public final class CatalogueReview {
    /** Limit of each backoff, as the nodes apply it. */
    private static final long MAX_BACKOFF_MILLISECONDS = 1_000;

    private final Collection<Entry> mEntries;
    private final long mBodyMemoryBytes;
    private final Map<String, RetryEntry> mRetries = new HashMap<>();
    private final Set<String> mRegions = new HashSet<>();
    private final Set<String> mUsedLimits = new HashSet<>();
    private final Set<String> mUsedRetries = new HashSet<>();
    private final Set<String> mUsedServices = new HashSet<>();
    private final List<CatalogueFault> mFindings = new ArrayList<>();

    private CatalogueReview(Collection<Entry> entries, long bodyMemoryBytes) {
        mEntries = entries;
        mBodyMemoryBytes = bodyMemoryBytes;
        for (Entry entry : entries) {
            if (entry.hasRetryEntry()) {
                mRetries.put(entry.getId(), entry.getRetryEntry());
            } else if (entry.hasRegionEntry()) {
                mRegions.add(entry.getId());
            } else if (entry.hasRouteEntry()) {
                addUses(entry.getRouteEntry());
            }
        }
    }

    private void addUses(RouteEntry route) {
        mUsedLimits.add(route.getLimitId());
        mUsedRetries.add(route.getRetryId());
        mUsedServices.add(route.getServiceId());
        route.getSplitList().forEach(share -> mUsedServices.add(share.getServiceId()));
    }

    /**
     * Returns the findings in the order of the entries.
     *
     * @param entries entries of a valid catalogue, not null
     * @param bodyMemoryBytes memory for bodies of the smallest node, which accepts no longer body
     */
    public static List<CatalogueFault> review(Collection<Entry> entries, long bodyMemoryBytes) {
        CatalogueReview review = new CatalogueReview(entries, bodyMemoryBytes);
        review.mEntries.forEach(review::reviewEntry);
        return review.mFindings;
    }

    private void reviewEntry(Entry entry) {
        switch (entry.getBodyCase()) {
            case SERVICE_ENTRY -> reviewUse(entry, mUsedServices);
            case LIMIT_ENTRY -> {
                reviewUse(entry, mUsedLimits);
                reviewLimit(entry, entry.getLimitEntry());
            }
            case RETRY_ENTRY -> reviewUse(entry, mUsedRetries);
            case ROUTE_ENTRY -> {
                reviewRegions(entry, entry.getRouteEntry());
                reviewTimes(entry, entry.getRouteEntry());
                reviewBodyLimit(entry, entry.getRouteEntry());
            }
            default -> {
                // The other types contain no values that depend on each other.
            }
        }
    }

    private void reviewUse(Entry entry, Set<String> used) {
        if (!used.contains(entry.getId())) {
            add(entry, "", "no route names it");
        }
    }

    private void reviewLimit(Entry entry, LimitEntry limit) {
        long rate = Integer.toUnsignedLong(limit.getRatePerSecond());
        long burst = Integer.toUnsignedLong(limit.getBurst());
        if (burst < rate) {
            add(
                    entry,
                    "burst",
                    burst
                            + " is below rate_per_second "
                            + rate
                            + ": requests that come together"
                            + " are refused although the rate of the second is within the limit");
        }
    }

    private void reviewRegions(Entry entry, RouteEntry route) {
        List<String> allowed = route.getAllowedRegionsList();
        if (!allowed.isEmpty() && allowed.stream().noneMatch(mRegions::contains)) {
            add(entry, "allowed_regions", "none of them is a region of this catalogue");
        }
    }

    private void reviewTimes(Entry entry, RouteEntry route) {
        long deadline = Integer.toUnsignedLong(route.getDeadlineMilliseconds());
        long objective = Integer.toUnsignedLong(route.getLatencyObjectiveMilliseconds());
        if (objective > deadline) {
            add(
                    entry,
                    "latency_objective_milliseconds",
                    objective + " is beyond the deadline of " + deadline + " ms");
        }
        RetryEntry retry = mRetries.get(route.getRetryId());
        if (retry == null) {
            return;
        }
        long backoff = Integer.toUnsignedLong(retry.getBaseBackoffMilliseconds());
        long total = meanBackoffMilliseconds(retry);
        if (backoff > deadline) {
            add(
                    entry,
                    "retry",
                    "the backoff of "
                            + backoff
                            + " ms is beyond the deadline of "
                            + deadline
                            + " ms");
        } else if (total >= deadline) {
            add(
                    entry,
                    "retry",
                    retry.getAttempts()
                            + " attempts do not fit: their backoffs take "
                            + total
                            + " ms on average, the deadline is "
                            + deadline
                            + " ms");
        }
    }

    /** Returns the mean of all backoffs together; each is random between 0 and its ceiling. */
    private static long meanBackoffMilliseconds(RetryEntry retry) {
        long ceiling = Integer.toUnsignedLong(retry.getBaseBackoffMilliseconds());
        long total = 0;
        for (int attempt = 1; attempt < retry.getAttempts(); attempt++) {
            total += Math.min(ceiling, MAX_BACKOFF_MILLISECONDS);
            ceiling = Math.min(2 * ceiling, MAX_BACKOFF_MILLISECONDS);
        }
        return total / 2;
    }

    private void reviewBodyLimit(Entry entry, RouteEntry route) {
        long limit = Integer.toUnsignedLong(route.getBodyLimitBytes());
        if (limit > mBodyMemoryBytes) {
            add(
                    entry,
                    "body_limit_bytes",
                    limit + " is above the body memory of a node, " + mBodyMemoryBytes + " bytes");
        }
    }

    private void add(Entry entry, String field, String message) {
        mFindings.add(CatalogueFault.of(entry, field, message));
    }
}
