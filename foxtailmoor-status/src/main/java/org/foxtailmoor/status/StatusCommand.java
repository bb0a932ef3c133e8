package org.foxtailmoor.status;

import io.netty.util.concurrent.Ticker;
import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.base.Command;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.StringArrayOptionHandler;

/** Sub-command {@code status}: prints the state of nodes and whether their versions agree. */
public final class StatusCommand extends Command {
    private static final int DEFAULT_LIMIT_MILLISECONDS = 6_000;
    private static final int MAX_LIMIT_MILLISECONDS = 600_000;

    @Option(
            name = "--node",
            required = true,
            handler = StringArrayOptionHandler.class,
            metaVar = "IP:ADMIN_PORT",
            usage = "admin ports of one or more nodes; may be repeated")
    private List<String> mNodes = new ArrayList<>();

    @Option(name = "--json", usage = "print JSON instead of a table")
    private boolean mJson;

    @Option(
            name = "--limit-milliseconds",
            metaVar = "N",
            usage = "time for which versions may differ, 0 to 600000, default 6000")
    private int mLimitMilliseconds = DEFAULT_LIMIT_MILLISECONDS;

    @Override
    protected String name() {
        return "status";
    }

    @Override
    protected int run() {
        if (mLimitMilliseconds < 0 || mLimitMilliseconds > MAX_LIMIT_MILLISECONDS) {
            throw FoxtailmoorException.of(
                    ErrorKind.USAGE,
                    "--limit-milliseconds must be from 0 to " + MAX_LIMIT_MILLISECONDS);
        }
        if (mNodes.isEmpty()) {
            throw FoxtailmoorException.of(ErrorKind.USAGE, "--node needs at least one address");
        }
        List<NodeAddress> nodes = mNodes.stream().map(NodeAddress::of).distinct().toList();
        FleetPoller poller = new FleetPoller(new HttpNodeClient(), Ticker.systemTicker());
        FleetStatus fleet = poller.poll(nodes, mLimitMilliseconds);
        System.out.print(mJson ? StatusFormatter.toJson(fleet) : StatusFormatter.toTable(fleet));
        return fleet.exitCode();
    }
}
