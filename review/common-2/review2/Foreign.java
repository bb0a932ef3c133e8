package review2;

import java.util.ArrayList;
import java.util.List;

/** Another writer registers an agent of its own for each machine in the store. */
final class Foreign {
    private static final String[] SERVICES = {"saldo", "cargos", "saldo", "cargos"};
    private static final int FIRST_MACHINE = 2;
    private static final int REQUESTS = 100;
    private static final int AGENT_PORT = 9_100;

    private Foreign() {}

    public static void main(String... arguments) {
        Lab.main(arguments[0], Foreign::run);
    }

    private static boolean run(Lab lab) throws Exception {
        Http.Handler handler = Lab.soundApplication(lab.mRecord, 400);
        List<Http.Server> applications = new ArrayList<>();
        List<Lab.Node> nodes = new ArrayList<>();
        for (int i = 0; i < SERVICES.length; i++) {
            int machine = FIRST_MACHINE + i;
            lab.register("i-" + machine, SERVICES[i], machine, 12, "ready");
            applications.add(
                    new Http.Server(lab.address(machine), lab.applicationPort(), handler));
        }
        lab.mStore.put(
                "op/config",
                Lab.configuration(
                        7,
                        List.of("saldo", "cargos"),
                        List.of(
                                Lab.route("r-1", "/saldo/", "idempotent", "saldo", 2),
                                Lab.route("r-2", "/cargos/", "non_idempotent", "cargos", 2))));
        for (int i = 0; i < SERVICES.length; i++) {
            nodes.add(lab.start("sidecar-" + i, FIRST_MACHINE + i, SERVICES[i]));
        }
        if (lab.mTrouble) {
            for (int i = 0; i < SERVICES.length; i++) {
                registerAgent(lab, FIRST_MACHINE + i);
            }
        }
        for (Lab.Node node : nodes) {
            lab.awaitReady(node);
        }
        // Traffic starts 13 s after the machines do.
        Thread.sleep(13_000);
        int served = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "request-" + i;
            String service = SERVICES[i % SERVICES.length];
            Http.Answer answer =
                    lab.call(
                            nodes.get(i / SERVICES.length % nodes.size()),
                            new Http.Request(
                                    service.equals("saldo") ? "GET" : "POST",
                                    "/" + service + "/" + i,
                                    Lab.HOST,
                                    id,
                                    3_000,
                                    new byte[0]));
            lab.mRecord.line(
                    "client: %s got %s",
                    id, answer == null ? "no answer" : "status " + answer.status());
            served += answer != null && answer.status() == 200 ? 1 : 0;
            Thread.sleep(50);
        }
        lab.mRecord.result("served %d of %d requests", served, REQUESTS);
        for (Http.Server application : applications) {
            application.close();
        }
        return served == 0;
    }

    /** Writes an entry whose service no configuration names; the agent has a port of its own. */
    private static void registerAgent(Lab lab, int machine) {
        String value =
                ("{\"service\":\"printer-agent\",\"address\":\"%s:%d\",\"zone\":\"stgo-a\","
                                + "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
                                + "\"warmup_left_s\":0,\"sequence\":1,\"born\":%d}")
                        .formatted(lab.address(machine), AGENT_PORT, System.currentTimeMillis());
        lab.mStore.put("servers/agent-" + machine, value);
        lab.mRecord.line("other writer: servers/agent-%d = %s", machine, value);
    }
}
