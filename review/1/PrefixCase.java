import java.util.ArrayList;
import java.util.List;

/**
 * A configuration adds a route below the prefix of another one. Requests for the path that is the
 * new prefix without its last slash begin only with the old prefix.
 */
final class PrefixCase {
    private static final String WIDE = "rack";
    private static final String NARROW = "orders";
    private static final String PATH = "/shop/2f";

    private PrefixCase() {}

    public static void main(String[] arguments) {
        Lab.main(arguments, PrefixCase::run);
    }

    private static boolean run(Lab lab) throws Exception {
        List<Upstream> upstreams =
                List.of(
                        new Upstream(lab, "i-rack", WIDE, 1, 12, 0.02),
                        new Upstream(lab, "i-orders", NARROW, 2, 12, 0.02));
        lab.putServer("i-rack", WIDE, 1, 12, "ready");
        lab.putServer("i-orders", NARROW, 2, 12, "ready");
        List<String> routes = new ArrayList<>();
        routes.add(Lab.route("r-wide", "/shop/", "non_idempotent", 2, 0.6, WIDE));
        lab.putConfiguration(routes, List.of(WIDE, NARROW));
        lab.startNode(1, WIDE);
        lab.startNode(2, NARROW);
        lab.awaitReady(1);
        lab.awaitReady(2);
        Lab.sleep(Lab.STABILITY_SECONDS + 1);
        send(lab, PATH);
        send(lab, PATH + "/a");
        if (lab.trouble) {
            routes.add(Lab.route("r-narrow", PATH + "/", "non_idempotent", 2, 0.6, NARROW));
            lab.putConfiguration(routes, List.of(WIDE, NARROW));
        }
        Lab.sleep(Lab.CONFIG_SECONDS + 1);
        for (int i = 0; i < 10; i++) {
            send(lab, PATH);
            send(lab, PATH + "?page=" + i);
        }
        send(lab, PATH + "/a");
        long wrong =
                upstreams.get(1).runs.stream()
                        .filter(run -> !run.path().startsWith(PATH + "/"))
                        .count();
        lab.record(wrong + " requests ran at a service to which no configuration lets them go");
        return wrong > 0;
    }

    private static void send(Lab lab, String path) {
        for (int machine = 1; machine <= 2; machine++) {
            lab.send(machine, "POST", path, lab.newId(), new byte[100], 4);
        }
    }
}
