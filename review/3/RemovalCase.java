import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * An upstream leaves without reporting that it drains: its entry is removed, it serves for the
 * drain time and a little longer, and exits. Requests that wait in the node beside it at that time
 * must not reach it after the drain time.
 */
final class RemovalCase {
    private static final String SERVICE = "charges";
    private static final int SLOTS = 8;
    private static final double WORK_SECONDS = 1.7;

    /** Time after the drain time at which the upstream exits. */
    private static final double LONGER_SECONDS = 0.9;

    private RemovalCase() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, RemovalCase::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Upstream upstream = new Upstream(lab, "i-charges", SERVICE, 1, SLOTS, WORK_SECONDS);
        lab.putServer("i-charges", SERVICE, 1, SLOTS, "ready");
        lab.putConfiguration(
                List.of(Lab.route("r-charges", "/charge/", "non_idempotent", 8, 5, SERVICE)),
                List.of(SERVICE));
        lab.startNode(1, SERVICE);
        lab.startNode(2, "other");
        lab.awaitReady(1);
        lab.awaitReady(2);
        Lab.sleep(Lab.STABILITY_SECONDS + 1);
        // The slots are taken for over three rounds of work.
        int requests = 3 * SLOTS;
        CountDownLatch answered = new CountDownLatch(requests);
        for (int i = 0; i < requests; i++) {
            Lab.daemon(
                    "client",
                    () -> {
                        lab.send(2, "POST", "/charge/page", lab.newId(), new byte[300], 8);
                        answered.countDown();
                    });
        }
        Lab.sleep(0.4);
        double removed = Double.MAX_VALUE;
        if (lab.trouble) {
            lab.removeServer("i-charges");
            removed = lab.now();
            lab.sleepUntil(removed + Lab.DRAIN_SECONDS + LONGER_SECONDS);
            upstream.stop();
        }
        answered.await();
        double limit = removed + Lab.DRAIN_SECONDS;
        long late = upstream.runs.stream().filter(run -> run.at() > limit).count();
        lab.record(late + " requests reached the upstream later than drain_s after its removal");
        return late > 0;
    }
}
