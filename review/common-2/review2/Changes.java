package review2;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** The operator changes one route of a large configuration again and again. */
final class Changes {
    private static final String SERVICE = "saldo";
    private static final int MACHINES = 3;
    private static final int CLIENTS = 10;
    private static final int ROUTES = 4_900;
    private static final long WORK_MILLISECONDS = 120;
    private static final long START_MILLISECONDS = 5_000;
    private static final long STABILITY_MILLISECONDS = 4_000;
    private static final long GAP_MILLISECONDS = 1_100;
    private static final int CHANGES = 82;
    /** Requests that may be left without an answer, see LOST. */
    private static final int ALLOWED_LOSSES = 3;

    private Changes() {}

    public static void main(String... arguments) {
        Lab.main(arguments[0], Changes::run);
    }

    private static boolean run(Lab lab) throws Exception {
        List<Http.Server> applications = new ArrayList<>();
        List<Lab.Node> nodes = new ArrayList<>();
        Map<String, String> runs = new ConcurrentHashMap<>();
        Http.Handler handler = application(runs);
        for (int machine = 2; machine < 2 + MACHINES; machine++) {
            lab.register("i-" + machine, SERVICE, machine, 12, "ready");
            applications.add(
                    new Http.Server(lab.address(machine), lab.applicationPort(), handler));
        }
        for (int machine = 2; machine < 2 + MACHINES; machine++) {
            nodes.add(lab.start("sidecar-" + machine, machine, SERVICE));
        }
        // The first configuration arrives after the machines have started.
        Thread.sleep(START_MILLISECONDS);
        int version = 7;
        String first = configuration(version);
        lab.mRecord.line("operator: writes r%d, %d bytes", version, first.length());
        lab.mStore.put("op/config", first);
        for (Lab.Node node : nodes) {
            lab.awaitReady(node);
        }
        Thread.sleep(STABILITY_MILLISECONDS);
        Clients clients = new Clients(lab, nodes, runs);
        clients.start();
        int changes = 0;
        long next = System.nanoTime();
        while (changes < CHANGES && nodes.stream().allMatch(node -> node.mProcess.isAlive())) {
            if (lab.mTrouble) {
                version++;
                lab.mStore.put("op/config", configuration(version));
                lab.mRecord.line("operator: writes r%d", version);
            }
            changes++;
            next += TimeUnit.MILLISECONDS.toNanos(GAP_MILLISECONDS);
            Thread.sleep(Math.max(0, TimeUnit.NANOSECONDS.toMillis(next - System.nanoTime())));
        }
        Thread.sleep(2_000);
        clients.stop();
        int ended = 0;
        for (Lab.Node node : nodes) {
            boolean out = node.logText().contains("OutOfMemoryError");
            boolean alive = node.mProcess.isAlive();
            ended += alive ? 0 : 1;
            lab.mRecord.line(
                    "%s: runs %s%s, log names OutOfMemoryError: %s",
                    node.mName,
                    alive,
                    alive ? "" : ", exit code " + node.mProcess.exitValue(),
                    out);
        }
        lab.mRecord.result(
                "%d changes; %d of %d processes ended by themselves; clients: %s",
                lab.mTrouble ? changes : 0, ended, MACHINES, clients.counts());
        int most = 0;
        for (Lab.Node node : nodes) {
            int lost = clients.lost(node);
            most = Math.max(most, lost);
            lab.mRecord.result(
                    "%s left %d requests without an answer that an application ran",
                    node.mName, lost);
        }
        for (Http.Server application : applications) {
            application.close();
        }
        return most > ALLOWED_LOSSES;
    }

    private static Http.Handler application(Map<String, String> runs) {
        return (head, in, socket) -> {
            Http.readBody(head, in);
            runs.put(head.header("x-request-id"), "run by the application of " + place(socket));
            try {
                Thread.sleep(WORK_MILLISECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            Http.answer(
                    socket.getOutputStream(), 200, Lab.answerHeaders(head, "s.1"), new byte[400]);
            return true;
        };
    }

    private static String place(Socket socket) {
        return socket.getLocalAddress().getHostAddress();
    }

    private static String configuration(int version) {
        List<String> routes = new ArrayList<>();
        for (int i = 0; i < ROUTES; i++) {
            int attempts = i == 1 ? 2 + version % 2 : 2;
            routes.add(Lab.route("r-" + i, "/rt" + i + "/", "idempotent", SERVICE, attempts));
        }
        return Lab.configuration(version, List.of(SERVICE), routes);
    }

    /** Clients that send one request after the other on kept connections. */
    private static final class Clients {
        private final Lab mLab;
        private final List<Lab.Node> mNodes;
        private final Map<String, String> mRuns;
        private final Map<String, Integer> mCounts = new TreeMap<>();
        private final List<Thread> mThreads = new ArrayList<>();
        private volatile boolean mStopped;
        private final Map<Lab.Node, Integer> mLost = new HashMap<>();

        Clients(Lab lab, List<Lab.Node> nodes, Map<String, String> runs) {
            mLab = lab;
            mNodes = nodes;
            mRuns = runs;
        }

        void start() {
            for (Lab.Node node : mNodes) {
                for (int i = 0; i < CLIENTS; i++) {
                    String name = node.mName + "-" + i;
                    Thread thread = new Thread(() -> run(node, name), name);
                    mThreads.add(thread);
                    thread.start();
                }
            }
        }

        void stop() throws InterruptedException {
            mStopped = true;
            for (Thread thread : mThreads) {
                thread.join();
            }
        }

        /** Returns how many requests that had run got no answer on a kept connection. */
        synchronized int lost(Lab.Node node) {
            return mLost.getOrDefault(node, 0);
        }

        synchronized String counts() {
            return mCounts.toString();
        }

        private void run(Lab.Node node, String name) {
            int number = 0;
            while (!mStopped && node.mProcess.isAlive()) {
                try (Http.Connection connection =
                        new Http.Connection(node.mAddress, mLab.outboundPort(), 5_000)) {
                    boolean kept = false;
                    while (!mStopped) {
                        send(connection, node, name + "-" + number++, kept);
                        kept = true;
                    }
                } catch (IOException e) {
                    count("connections ended");
                }
            }
        }

        private void send(Http.Connection connection, Lab.Node node, String id, boolean kept)
                throws IOException {
            try {
                Http.Answer answer =
                        connection.call(
                                new Http.Request(
                                        "GET", "/rt3/x", Lab.HOST, id, 3_000, new byte[0]));
                count("status " + answer.status());
                if (answer.status() != 200) {
                    mLab.mRecord.line("client: %s got status %d", id, answer.status());
                }
            } catch (IOException e) {
                String run = mRuns.getOrDefault(id, "not run");
                mLab.mRecord.line("client: %s got no answer (%s), %s", id, e, run);
                if (kept && mRuns.containsKey(id)) {
                    synchronized (this) {
                        mLost.merge(node, 1, Integer::sum);
                    }
                }
                throw e;
            }
        }

        private synchronized void count(String name) {
            mCounts.merge(name, 1, Integer::sum);
        }
    }
}
