package org.foxtailmoor.base;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Compares the trees with those of Jackson's object mapper. */
class JsonTreesTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Nested
    class Json {
        private static final String TEXT =
                "{\"a\":{\"b\":[1,-2.5e3,{\"c\":null},[],{}],\"d\":true},\"e\":\"\\u00e9\\n\","
                        + "\"f\":9000000000,\"g\":123456789012345678901234567890,\"a2\":false}";

        /** Returns the tree, or null if the text is not JSON. */
        private static JsonNode tree(String text) {
            try {
                return JsonTrees.readJson(bytes(text));
            } catch (IOException e) {
                return null;
            }
        }

        private static JsonNode expected(String text) {
            try {
                return MAPPER.readTree(bytes(text));
            } catch (IOException e) {
                return null;
            }
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    TEXT,
                    "",
                    " ",
                    "7",
                    "\"x\"",
                    "[]",
                    "{}",
                    "null",
                    "[1,[2,{\"a\":[3]}],4]",
                    "{\"a\":1,\"a\":2}",
                    "{\"a\":1} trailing",
                    "{\"a\":1",
                    "{\"a\"}",
                    "1e400"
                })
        void treeIsThatOfTheObjectMapper(String text) {
            assertThat(tree(text)).isEqualTo(expected(text));
        }

        /** Guards against an unexpected error in place of a rejected text. */
        @Test
        void mutatedTextIsReadOrRejectedAsByTheObjectMapper() {
            long seed = Long.getLong("foxtailmoor.seed", 3);
            Random random = new Random(seed);
            for (int i = 0; i < 5_000; i++) {
                StringBuilder text = new StringBuilder(TEXT);
                for (int change = random.nextInt(4); change >= 0; change--) {
                    int position = random.nextInt(text.length());
                    text.setCharAt(position, TEXT.charAt(random.nextInt(TEXT.length())));
                }
                assertThat(tree(text.toString()))
                        .as("seed %d: %s", seed, text)
                        .isEqualTo(expected(text.toString()));
            }
        }

        /** Guards against a text that ends the node by the depth of its nesting. */
        @Test
        void deepNestingIsRejected() {
            assertThatThrownBy(() -> JsonTrees.readJson(bytes("[".repeat(1_000_000))))
                    .isInstanceOf(IOException.class);
        }
    }

    @Nested
    class Toml {
        @Test
        void treeIsThatOfTheObjectMapper() throws IOException {
            String text =
                    """
                    a = 1
                    b = "x"
                    c = [1, 2]
                    d = 2.5
                    e = true
                    [f]
                    g = { h = "i" }
                    [[j]]
                    k = 9000000000
                    [[j]]
                    l = 1979-05-27
                    """;
            assertThat(JsonTrees.readToml(text)).isEqualTo(new TomlMapper().readTree(text));
            assertThat(JsonTrees.readToml("")).isEqualTo(new TomlMapper().readTree(""));
        }

        @Test
        void invalidTextIsRejected() {
            assertThatThrownBy(() -> JsonTrees.readToml("a = ")).isInstanceOf(IOException.class);
        }
    }
}
