package org.foxtailmoor.core.source;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/** Generates JSON documents of many similar routes, about 225 KB each. */
record RouteDocument(String version, List<String> routes) {
    private static final int ROUTES = 1_120;

    static RouteDocument random(Random random) {
        List<String> routes = new ArrayList<>();
        for (int i = 0; i < ROUTES; i++) {
            routes.add(route(random, 800));
        }
        return new RouteDocument(name(random), routes);
    }

    static String name(Random random) {
        return "%08x".formatted(random.nextInt());
    }

    static String route(Random random, int timeout) {
        return ("{\"route\":\"%s\",\"service\":\"svc-%d\",\"methods\":[\"GET\",\"POST\"],"
                        + "\"path\":\"/api/v1/%s\",\"timeoutMilliseconds\":%d,"
                        + "\"retries\":{\"attempts\":2,\"backoffMilliseconds\":50},"
                        + "\"idempotent\":true,\"owner\":\"s1\"}")
                .formatted(name(random), random.nextInt(40), name(random), timeout);
    }

    RouteDocument with(String version, int index, String route) {
        List<String> changed = new ArrayList<>(routes);
        changed.set(index, route);
        return new RouteDocument(version, changed);
    }

    RouteDocument withAdded(int index, String route) {
        List<String> changed = new ArrayList<>(routes);
        changed.add(index, route);
        return new RouteDocument(version, changed);
    }

    RouteDocument without(int index) {
        List<String> changed = new ArrayList<>(routes);
        changed.remove(index);
        return new RouteDocument(version, changed);
    }

    ByteString bytes() {
        return ByteString.copyFromUtf8(
                "{\"version\":\"%s\",\"routes\":[%s]}"
                        .formatted(version, String.join(",", routes)));
    }
}
