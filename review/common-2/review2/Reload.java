package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The settings file of a machine names another service, and no signal says so. */
final class Reload {
    private static final String SERVICE = "cargos";
    private static final String BEFORE = "saldo";
    private static final String AFTER = "cargas";
    private static final int REQUESTS = 50;
    private static final long WAIT_MILLISECONDS = 20_000;

    private Reload() {}

    public static void main(String... arguments) {
        Lab.main(arguments[0], Reload::run);
    }

    private static boolean run(Lab lab) throws Exception {
        lab.register("i-1", BEFORE, 2, 12, "ready");
        lab.register("i-2", SERVICE, 3, 12, "ready");
        lab.mStore.put(
                "op/config",
                Lab.configuration(
                        7,
                        List.of(SERVICE, BEFORE, AFTER),
                        List.of(
                                Lab.route("r-1", "/cargo/", "idempotent", SERVICE, 2),
                                Lab.route("r-2", "/saldo/", "idempotent", BEFORE, 2),
                                Lab.route("r-3", "/carga/", "idempotent", AFTER, 2))));
        List<String> expected = new ArrayList<>(List.of(BEFORE));
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger ran = new AtomicInteger();
        Http.Handler sound = Lab.soundApplication(lab.mRecord, 400);
        try (Http.Server first =
                        new Http.Server(lab.address(2), lab.applicationPort(), sound);
                Http.Server second =
                        new Http.Server(
                                lab.address(3),
                                lab.applicationPort(),
                                (head, in, socket) -> {
                                    ran.incrementAndGet();
                                    String caller = head.header("x-caller-service");
                                    if (!expected.get(0).equals(caller)) {
                                        wrong.incrementAndGet();
                                    }
                                    return sound.handle(head, in, socket);
                                })) {
            lab.mRecord.line("applications on ports %d and %d", first.port(), second.port());
            Lab.Node node = lab.start("sidecar-1", 2, BEFORE);
            Lab.Node other = lab.start("sidecar-2", 3, SERVICE);
            lab.awaitReady(node);
            lab.awaitReady(other);
            Thread.sleep(4_000);
            int servedBefore = send(lab, node, "before");
            if (wrong.get() > 0) {
                throw new IllegalStateException("wrong service before the change");
            }
            if (lab.mTrouble) {
                // The application beside the node is replaced by one of another service.
                lab.mStore.delete("servers/i-1");
                lab.register("i-3", AFTER, 2, 12, "ready");
                lab.writeSettings(node, 2, AFTER);
                expected.set(0, AFTER);
                lab.mRecord.line(
                        "settings of %s: service = %s, without a signal", node.mName, AFTER);
            }
            Thread.sleep(WAIT_MILLISECONDS);
            int servedAfter = send(lab, node, "after");
            lab.mRecord.result(
                    "served %d and %d of %d requests; %d of %d runs had another caller service"
                            + " than the one of the machine",
                    servedBefore, servedAfter, REQUESTS, wrong.get(), ran.get());
            return wrong.get() > 0;
        }
    }

    private static int send(Lab lab, Lab.Node node, String phase) throws InterruptedException {
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = phase + "-" + i;
            Http.Answer answer =
                    lab.call(
                            node,
                            new Http.Request(
                                    "GET", "/cargo/" + i, Lab.HOST, id, 3_000, new byte[0]));
            lab.mRecord.line(
                    "client: %s got %s",
                    id, answer == null ? "no answer" : "status " + answer.status());
            served += answer != null && answer.status() == 200 ? 1 : 0;
            Thread.sleep(20);
        }
        return served;
    }
}
