package org.foxtailmoor.catalogue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.foxtailmoor.protocol.generated.Entry;
import org.junit.jupiter.api.Test;

class CatalogueDiffTest {
    /** Guards against a diff that omits a change, which would then be published unseen. */
    @Test
    void listsAddedChangedAndRetiredEntries() {
        List<Entry> before = TestCatalogue.entries();
        String text = TestCatalogue.TEXT.replace("burst = 10", "burst = 11");
        text = text.replace("id = \"south\"", "id = \"west\"");
        List<Entry> after = CatalogueReader.read("test", text).entries();
        CatalogueDiff diff = CatalogueDiff.of(before, after);
        assertThat(diff.added()).extracting(Entry::getId).containsExactly("west");
        assertThat(diff.retired()).extracting(Entry::getId).containsExactly("south");
        assertThat(diff.changed())
                .singleElement()
                .satisfies(
                        change -> {
                            assertThat(change.before().getLimitEntry().getBurst()).isEqualTo(10);
                            assertThat(change.after().getLimitEntry().getBurst()).isEqualTo(11);
                        });
        assertThat(CatalogueDiff.of(before, TestCatalogue.entries()).isEmpty()).isTrue();
    }
}
