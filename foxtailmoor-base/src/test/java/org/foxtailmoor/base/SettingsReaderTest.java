package org.foxtailmoor.base;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SettingsReaderTest {
    private static SettingsReader read(String text) {
        return SettingsReader.of("test.toml", text);
    }

    @Nested
    class Values {
        /** Guards against defaults that hide a value that is present. */
        @Test
        void comeFromTheTextOrTheDefault() {
            SettingsReader reader =
                    read("[node]\nid = 'n1'\nport = 80\nratio = 0.5\nseeds = ['a', 'b']");
            assertThat(reader.readText("node.id", "x")).isEqualTo("n1");
            assertThat(reader.readInteger("node.port", 0, 100, 7)).isEqualTo(80);
            assertThat(reader.readNumber("node.ratio", 0, 1, 0.1)).isEqualTo(0.5);
            assertThat(reader.readTexts("node.seeds")).containsExactly("a", "b");
            assertThat(reader.readTexts("node.other")).isEmpty();
            assertThat(reader.readChoice("log.level", List.of("INFO"), "INFO")).isEqualTo("INFO");
            assertThatCode(reader::finish).doesNotThrowAnyException();
        }
    }

    @Nested
    class Faults {
        /** Guards against faults that are reported one at a time. */
        @Test
        void areAllReportedTogether() {
            SettingsReader reader =
                    read("name = ' '\nlevel = 'LOUD'\nport = 70000\nseeds = [1]\nextra = 1");
            reader.readText("name", null);
            reader.readText("id", null);
            reader.readChoice("level", List.of("INFO", "WARN"), null);
            reader.readInteger("port", 0, 65535, null);
            reader.readTexts("seeds");
            reader.addFault("own fault");
            assertThatThrownBy(reader::finish)
                    .isInstanceOfSatisfying(
                            FoxtailmoorException.class,
                            e -> assertThat(e.kind()).isEqualTo(ErrorKind.SETTINGS_INVALID))
                    .hasMessageContainingAll(
                            "7 faults",
                            "name = ",
                            "id: missing",
                            "one of [INFO, WARN]",
                            "port = 70000",
                            "seeds = 1",
                            "own fault",
                            "extra: unknown key");
        }

        /** Guards against nan, which passes checks for values below or above the range. */
        @Test
        void includeNotANumber() {
            SettingsReader reader = read("ratio = nan");
            reader.readNumber("ratio", 0, 1, null);
            assertThatThrownBy(reader::finish).hasMessageContaining("ratio");
        }

        /** Guards against a misspelled section that is silently ignored. */
        @Test
        void includeUnknownSections() {
            SettingsReader reader = read("[distributoin]\n[node]\nid = 'a'");
            reader.readText("node.id", null);
            assertThatThrownBy(reader::finish).hasMessageContaining("distributoin: unknown key");
        }

        /** Guards against a stack trace instead of a message that names the file. */
        @Test
        void includeUnreadableFiles(@TempDir Path directory) {
            assertThatThrownBy(() -> SettingsReader.of(directory.resolve("absent.toml")))
                    .isInstanceOf(FoxtailmoorException.class)
                    .hasMessageContaining("absent.toml");
            assertThatThrownBy(() -> read("= 1")).hasMessageContaining("test.toml");
        }
    }
}
