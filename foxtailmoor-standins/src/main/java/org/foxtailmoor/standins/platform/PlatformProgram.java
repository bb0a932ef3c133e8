package org.foxtailmoor.standins.platform;

import org.foxtailmoor.base.Program;
import org.foxtailmoor.standins.StandinsMain;
import org.kohsuke.args4j.Option;

/** Runs the platform stand-in until the process is told to end. */
public final class PlatformProgram extends Program {
    @Option(name = "--address", metaVar = "IP", usage = "address to listen on")
    private String mAddress = "127.0.0.1";

    @Option(name = "--port", required = true, metaVar = "PORT", usage = "port for readers")
    private int mPort;

    @Option(
            name = "--control-port",
            required = true,
            metaVar = "PORT",
            usage = "port for operators and tests")
    private int mControlPort;

    @Option(name = "--calls-per-second", metaVar = "N", usage = "call budget over all readers")
    private int mCallsPerSecond = PlatformServer.DEFAULT_CALLS_PER_SECOND;

    @Override
    protected String name() {
        return "foxtailmoor-standins platform";
    }

    @Override
    protected int run() {
        PlatformServer server =
                PlatformServer.start(mAddress, mPort, mControlPort, mCallsPerSecond);
        return StandinsMain.runUntilTerminated(server);
    }
}
