package org.foxtailmoor.standins.target;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.base.Program;
import org.foxtailmoor.standins.StandinsMain;
import org.foxtailmoor.standins.http.JsonRecords;
import org.kohsuke.args4j.Option;

/** Runs target stand-ins until the process is told to end. */
public final class TargetProgram extends Program {
    @Option(name = "--address", metaVar = "IP", usage = "address to listen on")
    private String mAddress = "127.0.0.1";

    @Option(name = "--ports", required = true, metaVar = "PORT,...", usage = "port of each target")
    private String mPorts;

    @Option(
            name = "--node-ports",
            metaVar = "PORT,...",
            usage = "caller port of each target's node, for chains of calls")
    private String mNodePorts = "";

    @Option(
            name = "--control-port",
            required = true,
            metaVar = "PORT",
            usage = "port for operators and tests")
    private int mControlPort;

    @Option(
            name = "--behaviour",
            metaVar = "JSON",
            usage = "members of the behaviour that differ from the default, as on the control port")
    private String mBehaviour = JsonNodeFactory.instance.objectNode().toString();

    @Override
    protected String name() {
        return "foxtailmoor-standins target";
    }

    @Override
    protected int run() {
        try {
            TargetBehaviour behaviour =
                    JsonRecords.merge(
                            TargetBehaviour.DEFAULT,
                            JsonRecords.parse(mBehaviour.getBytes(StandardCharsets.UTF_8)));
            TargetServer server =
                    TargetServer.start(
                            mAddress,
                            parsePorts(mPorts),
                            mControlPort,
                            behaviour,
                            parsePorts(mNodePorts));
            return StandinsMain.runUntilTerminated(server);
        } catch (IllegalArgumentException e) {
            throw FoxtailmoorException.of(ErrorKind.USAGE, e.getMessage(), e);
        }
    }

    private static List<Integer> parsePorts(String ports) {
        return Stream.of(ports.split(","))
                .filter(port -> !port.isBlank())
                .map(port -> Integer.valueOf(port.strip()))
                .toList();
    }
}
