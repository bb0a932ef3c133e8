package org.foxtailmoor.node.data;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.foxtailmoor.base.TokenBucket;
import org.foxtailmoor.core.admission.EventLoopLag;
import org.foxtailmoor.core.routing.RegionLinks;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs and measures the budgets of the links to other regions. */
final class RegionLinkReports implements RegionLinks.Listener {
    private static final Logger LOGGER = LoggerFactory.getLogger(RegionLinkReports.class);

    private final DataMetrics mMetrics;
    private final TokenBucket mLines;

    private RegionLinkReports(Ticker ticker, DataMetrics metrics) {
        mMetrics = metrics;
        mLines = TokenBucket.of(ticker, 1, 1);
    }

    /** Creates the budgets of a node in a region, and reports them. */
    static RegionLinks newLinks(
            Ticker ticker, String region, EventLoopLag lag, DataMetrics metrics) {
        return RegionLinks.of(
                ticker, region, lag::nanoseconds, new RegionLinkReports(ticker, metrics));
    }

    @Override
    public void onRegionAdded(RegionLinks links, String region) {
        mMetrics.registerGauge(
                "routing.region_link_bytes_per_second." + region,
                () -> links.bytesPerSecond(region));
    }

    @Override
    public void onHalved(String region, long bytesPerSecond, long delayNanoseconds) {
        if (mLines.tryTake(1)) {
            LOGGER.info(
                    "the link to region {} is saturated: round trips take {} ms longer, bodies are"
                            + " placed there at {} bytes/s",
                    region,
                    TimeUnit.NANOSECONDS.toMillis(delayNanoseconds),
                    bytesPerSecond);
        }
    }
}
