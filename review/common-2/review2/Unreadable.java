package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Another writer keeps entries in the store whose bytes can't be read, and writes them anew. */
final class Unreadable {
    private static final String SERVICE = "saldo";
    private static final int FIRST_MACHINE = 2;
    private static final int MACHINES = 3;
    private static final int ENTRIES = 25;
    private static final int ENTRY_BYTES = 1_000_000;
    private static final long GAP_MILLISECONDS = 250;
    private static final long RESTART_MILLISECONDS = 500;
    private static final long LENGTH_SECONDS = 100;
    private static final int ENDS = 3;
    private static final int ENDED_MACHINES = 2;

    private Unreadable() {}

    public static void main(String... arguments) {
        Lab.main(arguments[0], Unreadable::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Http.Handler handler = Lab.soundApplication(lab.mRecord, 400);
        List<Http.Server> applications = new ArrayList<>();
        List<Lab.Node> nodes = new ArrayList<>();
        for (int machine = FIRST_MACHINE; machine < FIRST_MACHINE + MACHINES; machine++) {
            lab.register("i-" + machine, SERVICE, machine, 12, "ready");
            applications.add(
                    new Http.Server(lab.address(machine), lab.applicationPort(), handler));
        }
        lab.mStore.put(
                "op/config",
                Lab.configuration(
                        7,
                        List.of(SERVICE),
                        List.of(Lab.route("r-1", "/saldo/", "idempotent", SERVICE, 2))));
        for (int machine = FIRST_MACHINE; machine < FIRST_MACHINE + MACHINES; machine++) {
            nodes.add(lab.start("sidecar-" + machine, machine, SERVICE));
        }
        for (Lab.Node node : nodes) {
            lab.awaitReady(node);
        }
        Thread.sleep(4_000);
        Map<Lab.Node, Integer> ends = new HashMap<>();
        Map<Lab.Node, Long> restarts = new HashMap<>();
        int writes = 0;
        int served = 0;
        int refused = 0;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LENGTH_SECONDS);
        while (System.nanoTime() - end < 0 && machinesThatEnded(ends) < ENDED_MACHINES) {
            if (lab.mTrouble) {
                String key = "servers/dump-" + writes % ENTRIES;
                char letter = (char) ('a' + writes % 26);
                lab.mStore.put(key, String.valueOf(letter).repeat(ENTRY_BYTES));
                writes++;
                lab.mRecord.line("other writer: %s, %d bytes, write %d", key, ENTRY_BYTES, writes);
            }
            Thread.sleep(GAP_MILLISECONDS);
            for (Lab.Node node : nodes) {
                restartIfEnded(lab, node, ends, restarts);
                if (restarts.containsKey(node)) {
                    continue;
                }
                String id = node.mName + "-" + System.nanoTime();
                Http.Answer answer =
                        lab.call(
                                node,
                                new Http.Request(
                                        "GET", "/saldo/1", Lab.HOST, id, 1_000, new byte[0]));
                boolean ok = answer != null && answer.status() == 200;
                served += ok ? 1 : 0;
                refused += ok ? 0 : 1;
            }
        }
        for (Lab.Node node : nodes) {
            lab.mRecord.result(
                    "%s ended by itself %d times", node.mName, ends.getOrDefault(node, 0));
        }
        lab.mRecord.result(
                "%d writes of %d entries; %d requests served, %d not",
                writes, writes == 0 ? 0 : ENTRIES, served, refused);
        for (Http.Server application : applications) {
            application.close();
        }
        return machinesThatEnded(ends) >= ENDED_MACHINES;
    }

    private static long machinesThatEnded(Map<Lab.Node, Integer> ends) {
        return ends.values().stream().filter(count -> count >= ENDS).count();
    }

    /** The platform starts a process that has ended again after a short delay. */
    private static void restartIfEnded(
            Lab lab, Lab.Node node, Map<Lab.Node, Integer> ends, Map<Lab.Node, Long> restarts)
            throws Exception {
        long now = System.nanoTime();
        if (restarts.containsKey(node)) {
            if (now - restarts.get(node) >= 0) {
                restarts.remove(node);
                lab.start(node);
            }
        } else if (!node.mProcess.isAlive()) {
            ends.merge(node, 1, Integer::sum);
            restarts.put(node, now + TimeUnit.MILLISECONDS.toNanos(RESTART_MILLISECONDS));
            lab.mRecord.line(
                    "%s ended by itself, exit code %d", node.mName, node.mProcess.exitValue());
        }
    }
}
