package org.foxtailmoor.standins.measure;

import com.fasterxml.jackson.databind.JsonNode;
import org.foxtailmoor.standins.fleet.Fleet;

/**
 * Control bytes over all nodes of a fleet since their start.
 *
 * @param sent bytes sent
 * @param acrossRegions the part of them that went to another region
 */
record ControlTotals(long sent, long acrossRegions) {
    /** Reads the totals of a running fleet. */
    static ControlTotals of(Fleet fleet) {
        long sent = 0;
        long acrossRegions = 0;
        for (JsonNode status : fleet.statuses(fleet.plans()).values()) {
            JsonNode bytes = status.get("control_bytes");
            sent += bytes.get("sent").asLong();
            acrossRegions += bytes.get("sent_across_regions").asLong();
        }
        return new ControlTotals(sent, acrossRegions);
    }

    /** Returns what was added since earlier totals. */
    ControlTotals minus(ControlTotals earlier) {
        return new ControlTotals(sent - earlier.sent, acrossRegions - earlier.acrossRegions);
    }
}
