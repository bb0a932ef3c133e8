package org.foxtailmoor.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.standins.http.ControlClient;
import org.kohsuke.args4j.Option;

/** Sends a load, and prints one JSON object a line: one for each kind and one for executions. */
public final class LoadProgram extends Program {
    @Option(
            name = "--kind",
            required = true,
            metaVar = "NAME:RATE:PATH",
            usage = "lookup, order or upload, its arrivals per second and its path; repeatable")
    private List<String> mKinds = new ArrayList<>();

    @Option(
            name = "--to",
            required = true,
            metaVar = "IP:PORT",
            usage = "caller port of a node; repeatable")
    private List<String> mAddresses = new ArrayList<>();

    @Option(
            name = "--direct",
            usage = "the addresses are targets; the results are marked as a baseline")
    private boolean mDirect;

    @Option(
            name = "--executions",
            metaVar = "IP:PORT",
            usage = "control port of targets whose records are compared; repeatable")
    private List<String> mControls = new ArrayList<>();

    @Option(name = "--seconds", metaVar = "N", usage = "time that is counted")
    private int mSeconds = 10;

    @Option(name = "--warmup-seconds", metaVar = "N", usage = "time before it")
    private int mWarmupSeconds = 2;

    @Override
    protected String name() {
        return "foxtailmoor-standins load";
    }

    @Override
    protected int run() {
        try {
            List<LoadKind> kinds = mKinds.stream().map(LoadKind::parse).toList();
            List<InetSocketAddress> addresses =
                    mAddresses.stream().map(ControlClient::parseAddress).toList();
            LoadRun run =
                    new LoadRun(
                            kinds,
                            addresses,
                            Duration.ofSeconds(mWarmupSeconds),
                            Duration.ofSeconds(mSeconds));
            run.run();
            return report(run);
        } catch (IllegalArgumentException e) {
            throw FoxtailmoorException.of(ErrorKind.USAGE, e.getMessage(), e);
        }
    }

    private int report(LoadRun run) {
        for (KindResult result : run.results()) {
            System.out.println(result.toJson(mSeconds).put("direct", mDirect));
        }
        if (mControls.isEmpty()) {
            return EXIT_CODE_SUCCESS;
        }
        List<JsonNode> records = new ArrayList<>();
        try (ControlClient client = new ControlClient()) {
            for (String control : mControls) {
                InetSocketAddress address = ControlClient.parseAddress(control);
                records.add(client.getJson(address, "/control/executions"));
            }
        }
        ExecutionCheck check = ExecutionCheck.of(run.results(), records);
        System.out.println(check.toJson());
        return check.isClean() ? EXIT_CODE_SUCCESS : ErrorKind.INTERNAL.exitCode();
    }
}
