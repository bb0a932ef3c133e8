package org.foxtailmoor.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.TreeMap;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Instance;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class InstanceCodecTest {
    private static Instance instance(String id, String zone) {
        return Instance.newBuilder().setId(id).setZone(zone).setControlPort(1).build();
    }

    @Nested
    class Encoding {
        /**
         * Two readers that receive the same list in different orders must publish the same version.
         */
        @Test
        void orderOfInstancesDoesNotMatter() {
            Instance one = instance("a", "z1");
            Instance two = instance("b", "z1");
            Instance three = instance("c", "z2");
            Document document = InstanceCodec.encode(7, List.of(three, two, one));
            assertThat(document.version())
                    .isEqualTo(InstanceCodec.encode(7, List.of(one, two, three)).version());
            assertThat(document.contents()).containsOnlyKeys("zone/z1", "zone/z2");
            assertThat(InstanceCodec.decode(document)).containsExactly(one, two, three);
            assertThat(InstanceCodec.check(document)).isEmpty();
        }
    }

    @Nested
    class Faults {
        /** Lists with duplicate or empty ids, invalid ports or misplaced instances are refused. */
        @Test
        void faultyListsAreRefused() {
            Instance one = instance("a", "z1");
            assertFault(InstanceCodec.encode(1, List.of(one, one)), "duplicate");
            assertFault(InstanceCodec.encode(1, List.of(instance("", "z1"))), "empty");
            Instance noPort = one.toBuilder().setControlPort(0).build();
            assertFault(InstanceCodec.encode(1, List.of(noPort)), "control port");
            TreeMap<String, ByteString> parts =
                    new TreeMap<>(InstanceCodec.encode(1, List.of(one)).contents());
            parts.put("zone/z2", parts.remove("zone/z1"));
            assertFault(Document.of(1, parts), "does not belong");
            parts.put("zone/z2", ByteString.copyFromUtf8("x"));
            assertFault(Document.of(1, parts), "unreadable");
        }

        private void assertFault(Document document, String text) {
            assertThat(InstanceCodec.check(document))
                    .hasValueSatisfying(fault -> assertThat(fault).contains(text));
        }
    }
}
