package org.foxtailmoor.node.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.source.InstanceListing;
import org.junit.jupiter.api.Test;

class InstanceListingParserTest {
    private final InstanceListingParser mParser = new InstanceListingParser();

    /** Guards against rejecting a list to which the platform has added fields. */
    @Test
    void parsesInstancesAndSkipsUnknownFields() {
        InstanceListing listing =
                parse(
                        """
                        {"note": {"any": [1]}, "revision": 7, "instances": [
                          {"id": "saldo-1", "service": "saldo", "region": "santiago",
                           "zone": "stgo-a", "address": "127.0.0.1", "node_port": 7001,
                           "control_port": 7002, "state": "leaving", "tags": ["x"]}]}
                        """);

        assertThat(listing.revision()).isEqualTo(7);
        assertThat(listing.instances())
                .singleElement()
                .satisfies(
                        instance -> {
                            assertThat(instance.getServiceId()).isEqualTo("saldo");
                            assertThat(instance.getControlPort()).isEqualTo(7002);
                            assertThat(instance.getLeaving()).isTrue();
                        });
    }

    /** Guards against accepting a truncated response as a shorter list. */
    @Test
    void rejectsATruncatedResponse() {
        assertThatThrownBy(() -> parse("{\"revision\": 7, \"instances\": [{\"id\": \"saldo-1\""))
                .isInstanceOf(FoxtailmoorException.class);
    }

    private InstanceListing parse(String json) {
        return mParser.parse(json.getBytes(StandardCharsets.UTF_8));
    }
}
