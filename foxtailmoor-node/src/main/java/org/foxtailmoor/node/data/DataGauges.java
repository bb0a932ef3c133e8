package org.foxtailmoor.node.data;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.foxtailmoor.core.admission.AdmissionPolicy;
import org.foxtailmoor.core.admission.BodyMemory;
import org.foxtailmoor.core.admission.CallFailureLimits;

/** Gauges of the parts of a data side. */
record DataGauges(
        BodyMemory memory,
        EntryGateway entry,
        CallerServer callers,
        Links links,
        LinkServer linkServer,
        HomeGateway home,
        TargetClient target,
        AdmissionPolicy admission,
        CallFailureLimits callLimits,
        CrashReplication crashes,
        LongSupplier evacuatedZones) {
    /** Registers the gauges, replacing those of an earlier data side. */
    void register(DataMetrics metrics) {
        metrics.registerGauge("bodies.reserved_bytes", memory::reservedBytes);
        metrics.registerGauge("entry.open_requests", entry::openRequests);
        metrics.registerGauge("entry.caller_connections", callers::openConnections);
        metrics.registerGauge("links.outgoing_peers", links::peerCount);
        metrics.registerGauge("links.incoming_links", linkServer::openLinks);
        metrics.registerGauge("bodies.arriving", () -> linkServer.transfers().size());
        metrics.registerGauge(
                "bodies.outgoing_wait_milliseconds",
                () -> TimeUnit.NANOSECONDS.toMillis(linkServer.outgoing().expectedNanoseconds(0)));
        metrics.registerGauge("target.connections", target::openConnections);
        metrics.registerGauge("target.body_bytes", admission::targetBodyBytes);
        metrics.registerGauge("target.waiting_bodies", admission::waitingForBodyBytes);
        metrics.registerGauge("home.suspect_fingerprints", crashes::suspects);
        metrics.registerGauge("home.poisoned_fingerprints", crashes::poisoned);
        metrics.registerGauge("home.running_requests", () -> admission.load().getRunning());
        metrics.registerGauge("home.cold", () -> home.isTargetCold() ? 1 : 0);
        metrics.registerGauge("home.delayed_starts", home::delayedStarts);
        metrics.registerGauge("home.concurrency_limit", () -> admission.load().getSlots());
        metrics.registerGauge(
                "home.work_time_percent", () -> admission.load().getWorkTimePercent());
        metrics.registerGauge("home.queued_requests", () -> admission.load().getQueued());
        metrics.registerGauge("home.call_limited_kinds", callLimits::limitedKinds);
        metrics.registerGauge("home.call_limit_refusals", callLimits::refusals);
        metrics.registerGauge("entry.failed_calls", callLimits::failedCalls);
        metrics.registerGauge("routing.evacuated_zones", evacuatedZones);
    }
}
