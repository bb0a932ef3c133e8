package org.foxtailmoor.scenarios.processes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Finds blocks of free ports below the range from which the system takes its own. */
final class FreePorts {
    private static final int FIRST = 22_000;
    private static final int LAST = 32_000;

    private FreePorts() {}

    /** Returns the first of a number of consecutive free ports. */
    static int block(int count) {
        int blocks = (LAST - FIRST) / count;
        // Builds that run at the same time start their search at different places.
        int start = (int) (ProcessHandle.current().pid() % blocks);
        for (int i = 0; i < blocks; i++) {
            int first = FIRST + (start + i) % blocks * count;
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
