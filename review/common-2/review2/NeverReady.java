package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * All processes are killed and started again while the store holds a large configuration, which
 * fills a page of a listing.
 */
final class NeverReady {
    private static final String SERVICE = "saldo";
    private static final int ROUTES = 4_300;
    private static final int REQUESTS = 100;
    private static final long DOWN_MILLISECONDS = 1_300;
    private static final long RECOVERY_MILLISECONDS = 15_000;

    private NeverReady() {}

    public static void main(String... arguments) {
        Lab.main(arguments[0], NeverReady::run);
    }

    private static boolean run(Lab lab) throws Exception {
        lab.placeInOtherRegion(3);
        lab.register("i-1", SERVICE, 2, 12, "ready");
        lab.register("i-2", SERVICE, 3, 12, "ready");
        Http.Handler handler = Lab.soundApplication(lab.mRecord, 400);
        List<Http.Server> applications = new ArrayList<>();
        for (int machine = 2; machine <= 3; machine++) {
            applications.add(
                    new Http.Server(lab.address(machine), lab.applicationPort(), handler));
        }
        List<Lab.Node> nodes =
                List.of(lab.start("sidecar-1", 2, SERVICE), lab.start("sidecar-2", 3, SERVICE));
        // The first configuration arrives after the machines have started.
        Thread.sleep(8_000);
        String configuration = configuration();
        lab.mRecord.line("operator: writes a configuration of %d bytes", configuration.length());
        lab.mStore.put("op/config", configuration);
        for (Lab.Node node : nodes) {
            lab.awaitReady(node);
        }
        Thread.sleep(4_000);
        int before = served(lab, nodes, "before");
        if (before < REQUESTS / 4) {
            throw new IllegalStateException("only " + before + " requests were served at first");
        }
        if (lab.mTrouble) {
            for (Lab.Node node : nodes) {
                lab.kill(node);
            }
            Thread.sleep(DOWN_MILLISECONDS);
            for (Lab.Node node : nodes) {
                lab.start(node);
            }
        }
        long back = System.nanoTime();
        Thread.sleep(RECOVERY_MILLISECONDS);
        int after = served(lab, nodes, "after");
        for (Lab.Node node : nodes) {
            lab.mRecord.line(
                    "%s: runs %s, ready %s, %d s after its start",
                    node.mName,
                    node.mProcess.isAlive(),
                    lab.isReady(node),
                    TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - back));
        }
        lab.mRecord.result(
                "served %d of %d requests before the kill and %d of %d sent 15 s after the start",
                before, REQUESTS, after, REQUESTS);
        for (Http.Server application : applications) {
            application.close();
        }
        return after < REQUESTS / 4;
    }

    private static int served(Lab lab, List<Lab.Node> nodes, String phase) throws Exception {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = phase + "-" + i;
            Http.Answer answer =
                    lab.call(
                            nodes.get(i % nodes.size()),
                            new Http.Request(
                                    "GET", "/rt" + i + "/x", Lab.HOST, id, 3_000, new byte[0]));
            lab.mRecord.line(
                    "client: %s got %s",
                    id, answer == null ? "no answer" : "status " + answer.status());
            served += answer != null && answer.status() == 200 ? 1 : 0;
            Thread.sleep(50);
        }
        return served;
    }

    private static String configuration() {
        List<String> routes = new ArrayList<>();
        for (int i = 0; i < ROUTES; i++) {
            routes.add(Lab.route("r-" + i, "/rt" + i + "/", "idempotent", SERVICE, 2));
        }
        return Lab.configuration(7, List.of(SERVICE), routes);
    }
}
