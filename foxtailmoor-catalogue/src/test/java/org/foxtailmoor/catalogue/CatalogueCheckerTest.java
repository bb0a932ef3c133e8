package org.foxtailmoor.catalogue;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.TreeMap;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Entry;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;
import org.junit.jupiter.params.provider.CsvSource;

class CatalogueCheckerTest {
    private static List<String> faults(String text) {
        return CatalogueReader.read("test", text).check().stream()
                .map(CatalogueFault::toString)
                .toList();
    }

    @Nested
    class Entries {
        /** Guards against false positives on a valid catalogue. */
        @Test
        void acceptsAValidCatalogue() {
            assertThat(CatalogueChecker.check(TestCatalogue.entries())).isEmpty();
        }

        /** Guards against each single fault that would break routing or admission on a node. */
        @ParameterizedTest
        @CsvFileSource(resources = "/checker-faults.csv", delimiter = '|', quoteCharacter = '\'')
        void reportsOneFaultWithEntryAndOwner(String text, String replacement, String fault) {
            String altered =
                    TestCatalogue.TEXT.replace(
                            text.replace("\\n", "\n"),
                            replacement == null ? "" : replacement.replace("\\n", "\n"));
            assertThat(altered).isNotEqualTo(TestCatalogue.TEXT);
            assertThat(faults(altered)).anyMatch(found -> found.contains(fault));
        }

        /**
         * Guards against a check that stops at the first fault. Operators would then have to
         * correct one fault at a time.
         */
        @Test
        void reportsEveryFault() {
            String text = TestCatalogue.TEXT.replace("owner = \"press\"", "owner = \"nobody\"");
            assertThat(faults(text)).hasSize(7).allMatch(fault -> fault.contains("nobody"));
            text = TestCatalogue.TEXT.replace("class = \"order\"", "class = \"none\"");
            assertThat(faults(text)).hasSize(4).allMatch(fault -> fault.contains("class: there"));
        }

        /** Guards against duplicate entries, of which a node would keep only one. */
        @Test
        void reportsDuplicateIds() {
            assertThat(faults(TestCatalogue.TEXT + TestCatalogue.route("orders", "GET", "/x")))
                    .containsExactly(
                            "route orders (owner press): id: entry 2 of this type with the same"
                                    + " id");
        }

        /** Guards against two routes that match the same request with equal priority. */
        @ParameterizedTest
        @CsvSource({
            "POST,/desk,true",
            "*,/desk,true",
            "POST,/desk/,true",
            "GET,/desk,false",
            "POST,/desk/a,false",
            "POST,/des,false",
            "*,/,false"
        })
        void reportsAmbiguousOverlaps(String method, String prefix, boolean ambiguous) {
            assertThat(faults(TestCatalogue.TEXT + TestCatalogue.route("second", method, prefix)))
                    .hasSize(ambiguous ? 1 : 0)
                    .allMatch(fault -> fault.contains("ambiguous overlap with route orders"));
        }

        /** Guards against a part that the configuration service can't hold. */
        @Test
        void reportsPartsThatAreTooLarge() {
            StringBuilder text = new StringBuilder(TestCatalogue.TEXT);
            for (int route = 0; route < 1_100; route++) {
                String prefix = "/" + "a".repeat(900) + route;
                text.append(TestCatalogue.route("route" + route, "GET", prefix));
            }
            assertThat(faults(text.toString()))
                    .singleElement()
                    .asString()
                    .startsWith("part service/desk (owner press): ");
        }
    }

    @Nested
    class Documents {
        private final TreeMap<String, ByteString> mContents =
                new TreeMap<>(CatalogueCodec.toDocument(1, TestCatalogue.entries()).contents());

        private List<String> faults() {
            return CatalogueChecker.check(Document.of(1, mContents)).stream()
                    .map(CatalogueFault::toString)
                    .toList();
        }

        /** Guards against a node that rejects a document written by the build command. */
        @Test
        void acceptsAValidCatalogue() {
            assertThat(faults()).isEmpty();
        }

        /** Guards against applying a damaged version in part. */
        @Test
        void reportsDamagedEmptyAndMissingParts() {
            mContents.put("service/desk", ByteString.copyFrom(new byte[] {0x0a, 0x7f}));
            mContents.put("service/none", ByteString.EMPTY);
            ByteString global = mContents.remove("global");
            assertThat(faults())
                    .anyMatch(fault -> fault.startsWith("part service/desk: part service/desk ca"))
                    .contains("part service/none: has no entries", "part global: is missing");
            mContents.put("global", global);
            assertThat(faults()).noneMatch(fault -> fault.contains("global"));
        }

        /** Guards against an entry that stays in force when its service's part is replaced. */
        @Test
        void reportsEntriesInTheWrongPart() {
            mContents.put("service/other", mContents.remove("service/desk"));
            assertThat(faults())
                    .hasSize(2)
                    .allMatch(fault -> fault.contains("must be in service/desk"));
        }

        /** Guards against accepting entries of a newer type that this node doesn't support. */
        @Test
        void reportsEntriesOfAnUnknownType() {
            Entry entry = Entry.newBuilder().setId("new").setOwner("press").build();
            assertThat(CatalogueChecker.check(List.of(entry)))
                    .extracting(CatalogueFault::toString)
                    .contains("entry new (owner press): has no body of a known type");
        }
    }
}
