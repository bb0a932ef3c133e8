package org.foxtailmoor.standins.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.foxtailmoor.standins.http.ControlClient;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FleetTest {
    @Nested
    class Plans {
        @Test
        void coverEveryServiceAndZoneWithPortsOfTheirOwn(@TempDir Path directory) {
            try (ControlClient client = new ControlClient()) {
                Fleet fleet = new Fleet(directory, directory, Deployment.KITAMINE, 21_000, client);
                List<NodePlan> plans = fleet.plans();
                assertThat(plans).hasSize(13);
                assertThat(plans.stream().map(NodePlan::zone).collect(Collectors.toSet()))
                        .hasSize(4);
                assertThat(plans.stream().map(NodePlan::firstPort)).doesNotHaveDuplicates();
                assertThat(plans.get(12).admin().getPort())
                        .isEqualTo(21_000 + fleet.portCount() - 1);
            }
        }

        @Test
        void scaleToAnyNumberOfUpstreams() {
            assertThat(Deployment.KITAMINE.withUpstreams(40).services())
                    .extracting(Deployment.Service::upstreams)
                    .containsExactly(14, 13, 13);
        }
    }

    @Nested
    class Percentiles {
        @Test
        void takeTheNearestRank() {
            Convergence convergence = new Convergence(List.of(30.0, 10.0, 20.0));
            assertThat(convergence.percentile(50)).isEqualTo(20);
            assertThat(convergence.percentile(99)).isEqualTo(30);
            assertThat(convergence.maximum()).isEqualTo(30);
        }
    }
}
