package org.foxtailmoor.standins.fleet;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;

/** Builds versions of a catalogue with the operators' command line. */
public final class CatalogueSource {
    private static final int BUILD_TIMEOUT_SECONDS = 60;
    private static final String CHANGED_LINE = "deadline_milliseconds = 2000";

    private final Path mRoot;
    private final Path mDirectory;
    private final String mText;

    /**
     * Reads a catalogue of the examples.
     *
     * @param root root directory of the project
     * @param name name of the example
     * @param directory directory for built versions and logs, must exist
     */
    public CatalogueSource(Path root, String name, Path directory) {
        mRoot = root;
        mDirectory = directory;
        try {
            mText = Files.readString(root.resolve("examples").resolve(name + ".toml"));
        } catch (IOException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID, "cannot read the catalogue " + name, e);
        }
    }

    private CatalogueSource(CatalogueSource other, String text) {
        mRoot = other.mRoot;
        mDirectory = other.mDirectory;
        mText = text;
    }

    /**
     * Returns the same catalogue with no limit on any route, so that slots alone bound the work.
     */
    public CatalogueSource withoutLimits() {
        return new CatalogueSource(this, mText.replaceAll("(?m)^limit = .*\\R", ""));
    }

    /**
     * Builds a version. Each number changes the deadline of the lookup route, so that one part
     * differs between any two numbers.
     *
     * @param number number of the version, at least 1
     * @return directory with the manifest and the parts
     */
    public Path build(int number) {
        Path file = mDirectory.resolve("catalogue-" + number + ".toml");
        Path output = mDirectory.resolve("catalogue-" + number);
        String changed = "deadline_milliseconds = " + (2_000 + number);
        try {
            Files.writeString(file, mText.replaceFirst(CHANGED_LINE, changed));
        } catch (IOException e) {
            throw FoxtailmoorException.of(ErrorKind.INTERNAL, "cannot write " + file, e);
        }
        List<String> command =
                List.of(
                        mRoot.resolve("bin/foxtailmoor-catalogue").toString(),
                        "build",
                        file.toString(),
                        "--number",
                        Integer.toString(number),
                        "--output",
                        output.toString());
        ManagedProcess build = ManagedProcess.start("build-" + number, mDirectory, command);
        if (build.awaitExitCode(BUILD_TIMEOUT_SECONDS) != 0) {
            throw FoxtailmoorException.of(
                    ErrorKind.CATALOGUE_INVALID, "build failed, see " + build.log());
        }
        return output;
    }

    /** Returns the files of the parts of a built version. */
    static List<Path> parts(Path built) throws IOException {
        try (Stream<Path> files = Files.list(built.resolve("catalogue/part"))) {
            return files.sorted().toList();
        }
    }
}
