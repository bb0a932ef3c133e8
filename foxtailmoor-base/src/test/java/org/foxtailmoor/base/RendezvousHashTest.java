package org.foxtailmoor.base;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
    private static final List<String> MEMBERS = List.of("a", "b", "c", "d", "e");

    /** Guards against processes that rank the same members in different orders. */
    @Test
    void rankDoesNotDependOnTheOrderOfMembers() {
        List<String> shuffled = new ArrayList<>(MEMBERS);
        Collections.shuffle(shuffled, new Random(1));
        assertThat(RendezvousHash.rank("key", shuffled))
                .isEqualTo(RendezvousHash.rank("key", MEMBERS))
                .containsExactlyInAnyOrderElementsOf(MEMBERS);
        assertThat(RendezvousHash.rank("key", List.of())).isEmpty();
    }

    /** Guards against a removed member that reassigns keys of other members. */
    @Test
    void removalKeepsTheOrderOfTheOthers() {
        for (int key = 0; key < 200; key++) {
            List<String> expected = new ArrayList<>(RendezvousHash.rank("key" + key, MEMBERS));
            expected.remove("c");
            assertThat(RendezvousHash.rank("key" + key, List.of("a", "b", "d", "e")))
                    .isEqualTo(expected);
        }
    }

    /** Guards against members that get far more keys than others. */
    @Test
    void keysAreDistributedEvenly() {
        Map<String, Integer> counts = new HashMap<>();
        for (int key = 0; key < 10_000; key++) {
            counts.merge(RendezvousHash.rank("key" + key, MEMBERS).get(0), 1, Integer::sum);
        }
        assertThat(counts.values()).hasSize(5).allMatch(count -> count > 1_800 && count < 2_200);
    }
}
