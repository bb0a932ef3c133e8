package org.foxtailmoor.core.source;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailmoor.protocol.generated.Instance;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReadOrderTest {
    private static final List<String> REGIONS = List.of("east", "north", "west");

    private static Instance instance(int number, boolean leaving) {
        return Instance.newBuilder()
                .setAddress("10.0.%d.%d".formatted(number / 250, number % 250))
                .setRegion(REGIONS.get(number % REGIONS.size()))
                .setLeaving(leaving)
                .build();
    }

    private static List<Instance> fleet(int size) {
        List<Instance> instances = new ArrayList<>();
        for (int number = 0; number < size; number++) {
            instances.add(instance(number, false));
        }
        return instances;
    }

    private static Map<String, ReadOrder> orders(List<Instance> instances) {
        Map<String, ReadOrder> orders = new HashMap<>();
        for (Instance instance : instances) {
            orders.put(
                    instance.getAddress(),
                    ReadOrder.of(instance.getAddress(), instance.getRegion(), instances));
        }
        return orders;
    }

    @Nested
    class Tree {
        /** Guards against nodes that read only from each other and never hear of a change. */
        @ParameterizedTest
        @ValueSource(ints = {1, 2, 7, 83, 2_900})
        void peersLeadToTheFirstNodeWithoutACircle(int size) {
            Map<String, ReadOrder> orders = orders(fleet(size));
            for (Map.Entry<String, ReadOrder> entry : orders.entrySet()) {
                ReadOrder order = entry.getValue();
                assertThat(order.listed()).isTrue();
                assertThat(order.fleetSize()).isEqualTo(size);
                assertThat(order.peers()).doesNotContain(entry.getKey()).doesNotHaveDuplicates();
                int hops = 0;
                while (order.rank() > 0) {
                    ReadOrder child = order;
                    assertThat(child.peers())
                            .allSatisfy(
                                    peer ->
                                            assertThat(orders.get(peer).rank())
                                                    .isLessThan(child.rank()));
                    order = orders.get(child.peers().get(0));
                    hops++;
                }
                // A node has six children, so four levels hold 1,555 nodes of a region.
                assertThat(hops).isLessThanOrEqualTo(4);
            }
        }

        /** Guards against a change that crosses the link to a region several times. */
        @ParameterizedTest
        @ValueSource(ints = {83, 2_900})
        void oneNodeOfEachRegionReadsTheStoreAndNoneReadsAnotherRegion(int size) {
            List<Instance> instances = fleet(size);
            Map<String, ReadOrder> orders = orders(instances);
            Map<String, String> regions = new HashMap<>();
            instances.forEach(instance -> regions.put(instance.getAddress(), instance.getRegion()));
            Map<String, Integer> direct = new HashMap<>();
            Map<String, Integer> children = new HashMap<>();
            orders.forEach(
                    (host, order) -> {
                        if (order.rank() == 0) {
                            direct.merge(regions.get(host), 1, Integer::sum);
                            return;
                        }
                        children.merge(order.peers().get(0), 1, Integer::sum);
                        assertThat(order.peers())
                                .allMatch(peer -> regions.get(peer).equals(regions.get(host)));
                    });
            assertThat(direct).isEqualTo(Map.of("east", 1, "north", 1, "west", 1));
            assertThat(children.values()).allMatch(count -> count <= ReadOrder.FAN_OUT);
        }

        /**
         * Guards against a first node that has nobody to ask while it cannot read the store, and
         * against two nodes of a region that read from each other.
         */
        @Test
        void firstNodeAsksTheFirstNodesOfOtherRegions() {
            Map<String, ReadOrder> orders = orders(fleet(83));
            for (ReadOrder order : orders.values()) {
                if (order.rank() == 0) {
                    assertThat(order.peers().stream().map(peer -> orders.get(peer).rank()))
                            .containsExactly(0, 0);
                    assertThat(orders.get(order.standby()).rank()).isEqualTo(1);
                } else {
                    int lowerRanks = Math.min(order.rank(), ReadOrder.FAN_OUT + 1);
                    assertThat(order.standby().isEmpty())
                            .isEqualTo(lowerRanks <= order.peers().size());
                    if (!order.standby().isEmpty()) {
                        assertThat(order.peers()).doesNotContain(order.standby());
                        assertThat(orders.get(order.standby()).rank()).isLessThan(lowerRanks);
                    }
                }
            }
        }
    }

    @Nested
    class Members {
        @Test
        void leavingInstanceIsNotAskedAndHasARankBehindTheOthers() {
            List<Instance> instances = fleet(83);
            instances.set(0, instance(0, true));
            String leaving = instances.get(0).getAddress();
            orders(instances)
                    .values()
                    .forEach(order -> assertThat(order.peers()).doesNotContain(leaving));
            ReadOrder order = ReadOrder.of(leaving, "east", instances);
            assertThat(order.listed()).isFalse();
            assertThat(order.rank()).isGreaterThan(27);
            assertThat(order.fleetSize()).isEqualTo(82);
        }

        @Test
        void unlistedHostHasARankBehindTheOthers() {
            ReadOrder order = ReadOrder.of("10.9.9.9", "east", fleet(83));
            assertThat(order.listed()).isFalse();
            assertThat(order.rank()).isGreaterThan(28);
            assertThat(order.peers()).hasSize(2);
            assertThat(ReadOrder.of("10.9.9.9", "south", fleet(83)).peers()).hasSize(3);
            ReadOrder alone = ReadOrder.of("10.9.9.9", "east", List.of());
            assertThat(alone.rank()).isPositive();
            assertThat(alone.peers()).isEmpty();
        }

        /** Guards against unlisted nodes that all read from the same two parents. */
        @Test
        void unlistedHostsSpreadOverTheParents() {
            Map<String, Integer> children = new HashMap<>();
            for (int number = 0; number < 60; number++) {
                ReadOrder order = ReadOrder.of("10.9.8." + number, "east", fleet(83));
                children.merge(order.peers().get(0), 1, Integer::sum);
            }
            assertThat(children).hasSizeGreaterThan(4);
            assertThat(children.values()).allMatch(count -> count <= 30);
        }

        /** Guards against a fleet that reconnects as a whole when one node stops. */
        @Test
        void nodeThatLeavesChangesFewParents() {
            List<Instance> instances = fleet(2_900);
            Map<String, ReadOrder> before = orders(instances);
            int changed = 0;
            int samples = 20;
            for (int sample = 0; sample < samples; sample++) {
                List<Instance> rest = new ArrayList<>(instances);
                rest.remove(sample * 145);
                for (int number = sample; number < rest.size(); number += 29) {
                    Instance instance = rest.get(number);
                    String host = instance.getAddress();
                    String parent = ReadOrder.of(host, instance.getRegion(), rest).peers().get(0);
                    changed += parent.equals(before.get(host).peers().get(0)) ? 0 : 1;
                }
            }
            // Ranks after the node move by one, so about a sixth of its region changes parents.
            assertThat(changed).isLessThan(samples * 100 / 5);
        }
    }
}
