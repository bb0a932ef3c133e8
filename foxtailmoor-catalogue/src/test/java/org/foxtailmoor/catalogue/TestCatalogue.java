package org.foxtailmoor.catalogue;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.foxtailmoor.protocol.generated.Entry;

/** Provides a small valid catalogue that tests alter by replacing text. */
public final class TestCatalogue {
    /** Valid catalogue with one entry of each type and two regions. */
    public static final String TEXT = load();

    private TestCatalogue() {}

    private static String load() {
        try (InputStream stream = TestCatalogue.class.getResourceAsStream("/valid.toml")) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the entries of the valid catalogue. */
    public static List<Entry> entries() {
        return CatalogueReader.read("test", TEXT).entries();
    }

    /** Returns another route to the service, as TOML. */
    public static String route(String id, String method, String prefix) {
        return TEXT.substring(TEXT.indexOf("[[route]]"), TEXT.indexOf("[[limit]]"))
                .replace("id = \"orders\"", "id = \"" + id + "\"")
                .replace("POST", method)
                .replace("/desk", prefix);
    }
}
