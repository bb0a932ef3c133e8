package org.foxtailmoor.catalogue.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.foxtailmoor.catalogue.CatalogueCodec;
import org.foxtailmoor.catalogue.PublishedValues;
import org.foxtailmoor.catalogue.TestCatalogue;
import org.foxtailmoor.protocol.generated.PartReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CatalogueMainTest {
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private final PrintStream mStandardOutput = System.out;
    private final PrintStream mStandardError = System.err;

    @TempDir Path mDirectory;

    @BeforeEach
    void redirect() {
        PrintStream stream = new PrintStream(mOutput, true, StandardCharsets.UTF_8);
        System.setOut(stream);
        System.setErr(stream);
    }

    @AfterEach
    void restore() {
        System.setOut(mStandardOutput);
        System.setErr(mStandardError);
    }

    private String write(String name, String text) throws IOException {
        return Files.writeString(mDirectory.resolve(name), text).toString();
    }

    private String run(int expectedExitCode, String... arguments) {
        mOutput.reset();
        int exitCode = new CatalogueMain().execute(arguments);
        String output = mOutput.toString(StandardCharsets.UTF_8);
        assertThat(exitCode).as(output).isEqualTo(expectedExitCode);
        return output;
    }

    @Nested
    class Build {
        /**
         * Guards against published values whose version or content differs from the catalogue file,
         * and so against bytes that differ from those that nodes verify.
         */
        @Test
        void writesValuesThatReadAndShowReproduce() throws IOException {
            String file = write("a.toml", TestCatalogue.TEXT);
            String values = mDirectory.resolve("values").toString();
            run(0, "build", file, "--number", "7", "--output", values);
            assertThat(PublishedValues.read(Path.of(values)).version())
                    .isEqualTo(CatalogueCodec.toDocument(7, TestCatalogue.entries()).version());
            String shown = write("shown.toml", run(0, "show", values));
            assertThat(run(0, "diff", file, shown)).contains("no differences");
            run(0, "build", file, "--base", values, "--output", values);
            assertThat(PublishedValues.readManifest(Path.of(values)).getNumber()).isEqualTo(8);
        }

        /** Guards against publishing a catalogue that every node would reject. */
        @Test
        void rejectsAnInvalidCatalogue() throws IOException {
            String file = write("a.toml", TestCatalogue.TEXT.replace("slots = 20", "slots = 0"));
            String values = mDirectory.resolve("values").toString();
            assertThat(run(4, "build", file, "--number", "7", "--output", values))
                    .contains("service desk (owner press): slots: 0 must be");
            assertThat(Path.of(values)).doesNotExist();
            run(2, "build", file, "--number", "0", "--output", values);
            run(2, "build", file, "--output", values);
        }
    }

    @Nested
    class Show {
        /** Guards against showing values that were altered or are missing. */
        @Test
        void namesEveryDamagedPart() throws IOException {
            Path values = mDirectory.resolve("values");
            PublishedValues.write(values, CatalogueCodec.toDocument(1, TestCatalogue.entries()));
            for (PartReference part : PublishedValues.readManifest(values).getPartsList()) {
                Path path = values.resolve(PublishedValues.keyOf(part));
                if (part.getName().equals("global")) {
                    Files.delete(path);
                } else {
                    Files.write(path, new byte[] {1});
                }
            }
            assertThat(run(4, "show", values.toString()))
                    .contains("part global: cannot read", "part service/desk: content differs");
        }
    }

    @Nested
    class CheckAndDiff {
        /** Guards against a diff that hides which field changed. */
        @Test
        void printFaultsAndFields() throws IOException {
            String old = write("old.toml", TestCatalogue.TEXT);
            String changed =
                    write("new.toml", TestCatalogue.TEXT.replace("slots = 20", "slots = 9"));
            assertThat(run(0, "check", old)).contains("valid, 8 entries in 2 parts");
            assertThat(run(0, "diff", old, changed))
                    .contains("changed service desk (owner press)", "slots: 20 -> 9");
            String bad = write("bad.toml", "[[owner]]\nid = 1");
            assertThat(run(4, "check", bad)).contains("faults:", "no region has holds_source");
            run(4, "diff", old, bad);
        }
    }
}
