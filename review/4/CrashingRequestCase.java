import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/**
 * A request of one caller service crashes every upstream that runs it, and comes again. Another
 * caller service sends requests with the same path, which are answered.
 */
final class CrashingRequestCase {
    private static final String SERVICE = "rack";
    private static final String BAD_CALLER = "desk";
    private static final String GOOD_CALLER = "intake";
    private static final String PATH = "/rack/popular";

    /** Path of the other caller's requests; another one shows that the fault needs the same path. */
    private static final String GOOD_PATH = System.getProperty("goodPath", PATH);

    private static final int UPSTREAMS = 4;
    private static final int BAD_MACHINE = 5;
    private static final int GOOD_MACHINE = 6;
    private static final double DOWN_SECONDS = 2;
    private static final double REPEAT_SECONDS = 1.5;
    private static final double LENGTH_SECONDS = 40;
    private static final int MAX_RETRIES = 3;

    private CrashingRequestCase() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, CrashingRequestCase::run);
    }

    private static final class CrashingUpstream extends Upstream {
        private final Set<String> mBadRequests;
        private final List<Run> mCrashes;

        CrashingUpstream(Lab lab, int machine, Set<String> badRequests, List<Run> crashes)
                throws IOException {
            super(lab, "i-rack-" + machine, SERVICE, machine, 12, 0.03);
            mBadRequests = badRequests;
            mCrashes = crashes;
        }

        @Override
        boolean run(Socket socket, InputStream input, OutputStream output, Http.Head head)
                throws Exception {
            if (!BAD_CALLER.equals(head.header("x-caller-service"))) {
                return super.run(socket, input, output, head);
            }
            recordRun(head);
            mBadRequests.add(head.header("x-request-id"));
            Lab.sleep(0.03);
            mCrashes.add(runs.get(runs.size() - 1));
            lab.record("upstream " + id + " crashes");
            crash(DOWN_SECONDS);
            return false;
        }
    }

    private static boolean run(Lab lab) throws Exception {
        Set<String> badRequests = ConcurrentHashMap.newKeySet();
        List<Upstream.Run> crashes = new CopyOnWriteArrayList<>();
        List<Upstream> upstreams = new ArrayList<>();
        for (int machine = 1; machine <= UPSTREAMS; machine++) {
            upstreams.add(new CrashingUpstream(lab, machine, badRequests, crashes));
            lab.putServer("i-rack-" + machine, SERVICE, machine, 12, "ready");
        }
        lab.putConfiguration(
                List.of(Lab.route("r-rack", "/rack/", "idempotent", 1.5, 0.5, SERVICE)),
                List.of(SERVICE));
        for (int machine = 1; machine <= UPSTREAMS; machine++) {
            lab.startNode(machine, SERVICE);
        }
        lab.startNode(BAD_MACHINE, BAD_CALLER);
        lab.startNode(GOOD_MACHINE, GOOD_CALLER);
        for (int machine = 1; machine <= GOOD_MACHINE; machine++) {
            lab.awaitReady(machine);
        }
        Lab.sleep(Lab.STABILITY_SECONDS + 1);
        double end = lab.now() + LENGTH_SECONDS;
        Lab.daemon(
                "good-client",
                () -> {
                    while (lab.now() < end) {
                        Lab.daemon(
                                "client",
                                () -> lab.send(GOOD_MACHINE, "GET", GOOD_PATH, lab.newId(), new byte[0], 2));
                        Lab.sleep(0.1);
                    }
                });
        Lab.sleep(3);
        while (lab.trouble && lab.now() < end) {
            Lab.daemon(
                    "client",
                    () -> lab.send(BAD_MACHINE, "GET", PATH, lab.newId(), new byte[0], 2));
            Lab.sleep(REPEAT_SECONDS);
        }
        lab.sleepUntil(end + 2);
        if (crashes.size() < 3) {
            lab.record(crashes.size() + " crashes");
            return false;
        }
        double from = crashes.get(2).at() + Lab.STABILITY_SECONDS;
        Set<String> late =
                crashes.stream()
                        .filter(run -> run.at() > from)
                        .map(Upstream.Run::id)
                        .collect(Collectors.toSet());
        lab.record(
                crashes.size()
                        + " crashes by "
                        + badRequests.size()
                        + " attempts; "
                        + late.size()
                        + " attempts reached upstreams later than stability_s after the third crash");
        return late.size() > MAX_RETRIES;
    }
}
