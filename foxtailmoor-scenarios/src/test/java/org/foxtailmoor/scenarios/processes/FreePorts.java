package org.foxtailmoor.scenarios.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds blocks of free ports below the ephemeral port range. */
final class FreePorts {
    private static final int FIRST_PORT = 22_000;
    private static final int LAST_PORT = 32_000;

    private FreePorts() {}

    /** Returns the first of a number of consecutive free ports. */
    static int findBlock(int count) {
        int blocks = (LAST_PORT - FIRST_PORT) / count;
        // Starting at a pid-dependent block keeps concurrent builds apart.
        int start = (int) (ProcessHandle.current().pid() % blocks);
        for (int i = 0; i < blocks; i++) {
            int first = FIRST_PORT + (start + i) % blocks * count;
            if (isFree(first, count)) {
                return first;
            }
        }
        throw new IllegalStateException("no block of " + count + " free ports");
    }

    private static boolean isFree(int first, int count) {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                socket.setReuseAddress(true);
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }
}
