package review2;

import java.util.List;

/** Clients send requests whose heads are longer than 8 KiB and within the operator's limit. */
final class LongTarget {
    private static final String SERVICE = "saldo";
    private static final int REQUESTS = 100;
    private static final int MAX_HEADER_BYTES = 16_384;
    private static final int LONG_QUERY_BYTES = 12_000;
    private static final int SHORT_QUERY_BYTES = 1_000;

    private LongTarget() {}

    public static void main(String... arguments) {
        Lab.main(arguments[0], LongTarget::run);
    }

    private static boolean run(Lab lab) throws Exception {
        lab.register("i-1", SERVICE, 2, 12, "ready");
        lab.mStore.put(
                "op/config",
                Lab.configuration(
                        7,
                        List.of(SERVICE),
                        List.of(Lab.route("r-1", "/saldo/", "idempotent", SERVICE, 2))));
        try (Http.Server application =
                new Http.Server(
                        lab.address(2),
                        lab.applicationPort(),
                        Lab.soundApplication(lab.mRecord, 400))) {
            lab.mRecord.line("application on port %d", application.port());
            Lab.Node node = lab.start("sidecar-1", 2, SERVICE);
            lab.awaitReady(node);
            Thread.sleep(4_000);
            int query = lab.mTrouble ? LONG_QUERY_BYTES : SHORT_QUERY_BYTES;
            int denied = 0;
            for (int i = 0; i < REQUESTS; i++) {
                Http.Request request =
                        new Http.Request(
                                "GET",
                                "/saldo/" + i + "?card=" + "7".repeat(query),
                                Lab.HOST,
                                "get-" + i,
                                3_000,
                                new byte[0]);
                int head = request.head().length;
                if (head > MAX_HEADER_BYTES) {
                    throw new IllegalStateException("the head has " + head + " bytes");
                }
                Http.Answer answer = lab.call(node, request);
                int status = answer == null ? 0 : answer.status();
                lab.mRecord.line("client: get-%d, head of %d bytes, got %d", i, head, status);
                boolean excused = status == 408 || status == 421 || status == 429;
                denied += status / 100 == 4 && !excused ? 1 : 0;
                Thread.sleep(20);
            }
            lab.mRecord.result("%d of %d proper requests were denied", denied, REQUESTS);
            return denied > 5 + REQUESTS / 500;
        }
    }
}
