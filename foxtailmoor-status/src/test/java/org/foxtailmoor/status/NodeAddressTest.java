package org.foxtailmoor.status;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.foxtailmoor.base.FoxtailmoorException;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class NodeAddressTest {
    /** Guards against an IPv6 address whose last group is parsed as the port. */
    @ParameterizedTest
    @ValueSource(strings = {"10.0.0.1:9000", "[::1]:1"})
    void parsesItsOwnFormat(String text) {
        assertThat(NodeAddress.of(text)).hasToString(text);
    }

    /** Guards against name lookups, which the platform does not provide. */
    @ParameterizedTest
    @ValueSource(strings = {"localhost:1", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "::1:80"})
    void rejectsHostNamesAndInvalidPorts(String text) {
        assertThatThrownBy(() -> NodeAddress.of(text))
                .isInstanceOf(FoxtailmoorException.class)
                .hasMessageContaining(text);
    }
}
