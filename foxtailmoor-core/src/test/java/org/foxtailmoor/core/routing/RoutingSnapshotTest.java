package org.foxtailmoor.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class RoutingSnapshotTest {
    private static String routeId(RoutingSnapshot snapshot, String method, String path) {
        Route route = snapshot.route(method, path);
        return route == null ? null : route.id();
    }

    @Nested
    class Matching {
        private final RoutingSnapshot mSnapshot =
                new RoutingSnapshotBuilder()
                        .service("s", 4)
                        .route("all", "s", "*", "/", true)
                        .route("orders", "s", "*", "/orders", true)
                        .route("post-order", "s", "POST", "/orders", false)
                        .route("proof", "s", "GET", "/orders/proof/", true)
                        .build(1, 1);

        /** A prefix must not match part of a segment: /orders must not match /orders-old. */
        @Test
        void longestPrefixWinsByWholeSegments() {
            assertThat(routeId(mSnapshot, "GET", "/orders/proof/7?x=/a")).isEqualTo("proof");
            assertThat(routeId(mSnapshot, "GET", "/orders/proofs")).isEqualTo("orders");
            assertThat(routeId(mSnapshot, "GET", "/orders-old")).isEqualTo("all");
            assertThat(routeId(mSnapshot, "GET", "/orders?next=/orders/proof")).isEqualTo("orders");
            assertThat(routeId(mSnapshot, "GET", "orders")).isNull();
        }

        @Test
        void methodTakesPrecedenceOverAnyMethodOnTheSamePrefixOnly() {
            assertThat(routeId(mSnapshot, "POST", "/orders/1")).isEqualTo("post-order");
            assertThat(routeId(mSnapshot, "PUT", "/orders/1")).isEqualTo("orders");
            assertThat(routeId(mSnapshot, "POST", "/orders/proof/1")).isEqualTo("post-order");
        }
    }

    @Nested
    class MissingReferences {
        /** Invariant 2; also, an order must not reach the service of a shorter prefix. */
        @Test
        void incompleteRouteIsLeftOutAndNotReplacedByAShorterPrefix() {
            RoutingSnapshot snapshot =
                    new RoutingSnapshotBuilder()
                            .service("s", 4)
                            .route("all", "s", "*", "/", true)
                            .route("no-service", "absent", "*", "/a", true)
                            .route("no-limit", "s", "*", "/b", entry -> entry.setLimitId("absent"))
                            .build(1, 1);

            assertThat(snapshot.incompleteRoutes()).containsExactly("no-limit", "no-service");
            assertThat(snapshot.route("GET", "/a/x")).isNull();
            assertThat(snapshot.route("GET", "/b/x")).isNull();
            assertThat(snapshot.routeById("no-service")).isNull();
            assertThat(routeId(snapshot, "GET", "/c")).isEqualTo("all");
        }
    }

    /** Invariant 1: neither document of a snapshot may be replaced by an older version. */
    @Test
    void snapshotIsNewerOnlyIfNoDocumentIsOlder() {
        RoutingSnapshot held = new RoutingSnapshotBuilder().build(5, 5);
        assertThat(new RoutingSnapshotBuilder().build(6, 5).isNewerThan(held)).isTrue();
        assertThat(new RoutingSnapshotBuilder().build(5, 6).isNewerThan(held)).isTrue();
        assertThat(new RoutingSnapshotBuilder().build(5, 5).isNewerThan(held)).isFalse();
        assertThat(new RoutingSnapshotBuilder().build(6, 4).isNewerThan(held)).isFalse();
    }
}
