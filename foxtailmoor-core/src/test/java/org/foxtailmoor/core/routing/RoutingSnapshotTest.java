package org.foxtailmoor.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.protocol.generated.ClassEntry;
import org.foxtailmoor.protocol.generated.Entry;
import org.foxtailmoor.protocol.generated.RouteEntry;
import org.foxtailmoor.protocol.generated.ServiceEntry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

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

    /** Guards against a request that runs at the service of a prefix that its path lacks. */
    @ParameterizedTest
    @CsvFileSource(
            resources = "/path-prefixes.csv",
            delimiter = '|',
            numLinesToSkip = 1,
            nullValues = "none")
    void longestPrefixThatBeginsThePathWins(String prefixes, String path, String expected) {
        RoutingSnapshotBuilder builder = new RoutingSnapshotBuilder().service("s", 4);
        for (String prefix : prefixes.split(" ")) {
            builder.route(prefix, "s", "*", prefix, true);
        }
        assertThat(routeId(builder.build(1, 1), "GET", path)).isEqualTo(expected);
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

    @Nested
    class NewerCatalogue {
        private static final long DEFAULT_SEED = 11;

        private final long mSeed = Long.getLong("foxtailmoor.seed", DEFAULT_SEED);
        private final Random mRandom = new Random(mSeed);
        private final Map<String, Entry> mEntries = new TreeMap<>();
        private long mVersion;

        NewerCatalogue() {
            put("c", entry -> entry.setClassEntry(ClassEntry.getDefaultInstance()));
            for (int i = 0; i < 12; i++) {
                change();
            }
        }

        private void put(String id, Consumer<Entry.Builder> body) {
            Entry.Builder entry = Entry.newBuilder().setId(id).setClassId("c");
            body.accept(entry);
            mEntries.put(id, entry.build());
        }

        /** Adds, replaces or removes a route or a service. */
        private void change() {
            int number = mRandom.nextInt(8);
            if (mRandom.nextInt(4) == 0) {
                String id = (mRandom.nextBoolean() ? "r" : "s") + number;
                if (mEntries.remove(id) != null) {
                    return;
                }
            }
            if (mRandom.nextInt(3) == 0) {
                ServiceEntry service = ServiceEntry.newBuilder().setSlots(number + 1).build();
                put("s" + number % 3, entry -> entry.setServiceEntry(service));
                return;
            }
            RouteEntry route =
                    RouteEntry.newBuilder()
                            .setHost("h" + number % 3)
                            .setMethod("*")
                            .setPathPrefix("/p" + mRandom.nextInt(4) + "/")
                            .setServiceId("s" + mRandom.nextInt(3))
                            .build();
            put("r" + number, entry -> entry.setRouteEntry(route));
        }

        private CatalogueSnapshot catalogue() {
            mVersion++;
            return CatalogueSnapshot.of(
                    RoutingSnapshotBuilder.version(mVersion), mEntries.values());
        }

        private static RoutingSnapshot snapshotOf(CatalogueSnapshot catalogue) {
            return RoutingSnapshot.of(catalogue, RoutingSnapshotBuilder.version(1), List.of());
        }

        private static List<Object> decisions(RoutingSnapshot snapshot) {
            List<Object> decisions = new ArrayList<>();
            for (int host = 0; host < 3; host++) {
                for (int prefix = 0; prefix < 4; prefix++) {
                    decisions.add(snapshot.route("h" + host, "GET", "/p" + prefix + "/x"));
                }
            }
            decisions.add(snapshot.incompleteRoutes());
            return decisions;
        }

        /** Guards against a route of an earlier version that stays in force. */
        @Test
        void snapshotOfALaterCatalogueDecidesAsOneBuiltAnew() {
            RoutingSnapshot snapshot = snapshotOf(catalogue());
            for (int i = 0; i < 500; i++) {
                change();
                CatalogueSnapshot later = catalogue();
                snapshot =
                        snapshot.withCatalogue(later, RoutingSnapshotBuilder.version(1), List.of());
                assertThat(decisions(snapshot))
                        .as("seed %d, change %d", mSeed, i)
                        .isEqualTo(decisions(snapshotOf(later)));
            }
        }

        /** Guards against a change whose cost grows with the routes that it leaves alone. */
        @Test
        void unchangedRoutesAreShared() {
            put("s0", entry -> entry.setServiceEntry(ServiceEntry.getDefaultInstance()));
            RouteEntry route =
                    RouteEntry.newBuilder()
                            .setHost("h7")
                            .setMethod("*")
                            .setPathPrefix("/p/")
                            .setServiceId("s0")
                            .build();
            put("kept", entry -> entry.setRouteEntry(route));
            RoutingSnapshot first = snapshotOf(catalogue());
            put("r0", entry -> entry.setRouteEntry(route.toBuilder().setHost("h0").build()));
            RoutingSnapshot second =
                    first.withCatalogue(catalogue(), RoutingSnapshotBuilder.version(1), List.of());
            assertThat(second.route("h7", "GET", "/p/x"))
                    .isNotNull()
                    .isSameAs(first.route("h7", "GET", "/p/x"));
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
