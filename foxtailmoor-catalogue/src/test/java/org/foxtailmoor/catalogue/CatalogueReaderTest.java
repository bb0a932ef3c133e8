package org.foxtailmoor.catalogue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.ValueSource;

class CatalogueReaderTest {
    @Nested
    class Faults {
        /** Guards against a misspelt key or a wrong type that is silently ignored. */
        @ParameterizedTest
        @CsvFileSource(resources = "/reader-faults.csv", delimiter = '|', quoteCharacter = '\'')
        void areReportedOnce(String text, String replacement, String fault) {
            String altered = TestCatalogue.TEXT.replace(text, replacement.replace("\\n", "\n"));
            assertThat(CatalogueReader.read("test", altered).check())
                    .extracting(CatalogueFault::toString)
                    .filteredOn(found -> found.contains(fault))
                    .hasSize(1);
        }

        /**
         * Guards against a second fault, by the range check, for a field that could not be read.
         */
        @Test
        void areNotRepeatedByTheRangeCheck() {
            String altered = TestCatalogue.TEXT.replace("burst = 10", "burst = true");
            assertThat(CatalogueReader.read("test", altered).check()).hasSize(1);
        }

        /** Guards against a parser exception in place of an error that names the file. */
        @Test
        void includeTextThatIsNotToml() {
            assertThatThrownBy(() -> CatalogueReader.read("file.toml", "[[owner]"))
                    .isInstanceOfSatisfying(
                            FoxtailmoorException.class,
                            e -> assertThat(e.kind()).isEqualTo(ErrorKind.CATALOGUE_INVALID))
                    .hasMessageContaining("file.toml");
        }
    }

    /** Guards against example catalogues that do not pass the checks. Operators copy them. */
    @ParameterizedTest
    @ValueSource(strings = {"kitamine.toml", "andina.toml"})
    void examplesAreValid(String name) {
        CatalogueReading reading = CatalogueReader.read(Path.of("../examples", name));
        assertThat(reading.check()).isEmpty();
        assertThat(reading.entries()).filteredOn(entry -> entry.hasServiceEntry()).hasSize(3);
    }
}
