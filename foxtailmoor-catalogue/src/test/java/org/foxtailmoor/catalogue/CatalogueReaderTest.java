package org.foxtailmoor.catalogue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class CatalogueReaderTest {
    @Nested
    class Faults {
        /** Guards against a misspelt key or a wrong type that is silently ignored. */
        @ParameterizedTest
        @CsvSource(
                delimiter = '|',
                value = {
                    "burst = 10|burst = 10\\nbursts = 1|limit orders (owner press): bursts: unkno",
                    "burst = 10|burst = \"10\"|burst: \"10\" must be a whole number from 1 to",
                    "burst = 10|burst = 1.5|burst: 1.5 must be",
                    "burst = 10|burst = -1|burst: -1 must be",
                    "burst = 10|burst = 4294967297|burst: 4294967297 must be",
                    "burst = 10|rate = 10|limit orders (owner press): burst: missing",
                    "require_key = true|require_key = 1|require_key: 1 must be true or false",
                    "zones = [\"s1\"]|zones = \"s1\"|zones: \"s1\" must be a list",
                    "zones = [\"s1\"]|zones = [\"s1\", 2]|zones: 2 must be a text",
                    "method = \"POST\"|method = 5|method: 5 must be a text",
                    "[[retry]]|[[retries]]|catalogue: retries: unknown key",
                    "[[retry]]|[retry]|catalogue: retry: must be written [[retry]]"
                })
        void areReportedOnce(String text, String replacement, String fault) {
            String altered = TestCatalogue.TEXT.replace(text, replacement.replace("\\n", "\n"));
            assertThat(CatalogueReader.read("test", altered).check())
                    .extracting(CatalogueFault::toString)
                    .filteredOn(found -> found.contains(fault))
                    .hasSize(1);
        }

        /** Guards against a second report, by the range check, of a field that was not read. */
        @Test
        void ofOneFieldDoNotRepeat() {
            String altered = TestCatalogue.TEXT.replace("burst = 10", "burst = true");
            assertThat(CatalogueReader.read("test", altered).check()).hasSize(1);
        }

        /** Guards against a stack trace in place of a message with the name of the file. */
        @Test
        void includeTextThatIsNotToml() {
            assertThatThrownBy(() -> CatalogueReader.read("file.toml", "[[owner]"))
                    .isInstanceOfSatisfying(
                            FoxtailmoorException.class,
                            e -> assertThat(e.kind()).isEqualTo(ErrorKind.CATALOGUE_INVALID))
                    .hasMessageContaining("file.toml");
        }
    }

    /** Guards against examples that operators copy and that do not pass the checks. */
    @ParameterizedTest
    @ValueSource(strings = {"kitamine.toml", "andina.toml"})
    void examplesAreValid(String name) {
        CatalogueReading reading = CatalogueReader.read(Path.of("../examples", name));
        assertThat(reading.check()).isEmpty();
        assertThat(reading.entries()).filteredOn(entry -> entry.hasServiceEntry()).hasSize(3);
    }
}
