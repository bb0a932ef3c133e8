package org.foxtailmoor.catalogue;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Entry;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CatalogueCodecTest {
    private static final String SEED_PROPERTY = "foxtailmoor.seed";
    private static final long SEED = Long.getLong(SEED_PROPERTY, 20260704L);
    private static final int ROUNDS = 300;

    @BeforeAll
    static void printSeed() {
        System.out.println("CatalogueCodecTest: -D" + SEED_PROPERTY + "=" + SEED);
    }

    @Nested
    class Parts {
        /** Guards against a change of one service that alters the parts of others. */
        @Test
        void areOnePerServiceAndOneForTheRest() {
            Document document = CatalogueCodec.toDocument(5, TestCatalogue.entries());
            assertThat(document.contents().keySet()).containsExactly("global", "service/desk");
            CatalogueSnapshot snapshot = CatalogueCodec.toSnapshot(document);
            assertThat(snapshot.version()).isEqualTo(document.version());
            assertThat(snapshot.routes().get("orders").body().getServiceId()).isEqualTo("desk");
            assertThat(snapshot.regionOfZone("s1")).isEqualTo("south");
            assertThat(snapshot.regionOfZone("s9")).isEmpty();
        }

        /** Guards against a damaged part that fails with an exception without an error kind. */
        @Test
        void thatAreDamagedFailAsInvalidCatalogue() {
            TreeMap<String, ByteString> contents = new TreeMap<>();
            contents.put("global", ByteString.copyFromUtf8("not a part"));
            assertThatThrownBy(() -> CatalogueCodec.toSnapshot(Document.of(1, contents)))
                    .isInstanceOfSatisfying(
                            FoxtailmoorException.class,
                            e -> assertThat(e.kind()).isEqualTo(ErrorKind.CATALOGUE_INVALID))
                    .hasMessageContaining("global");
        }
    }

    @Nested
    class RandomCatalogues {
        private final RandomEntries mEntries = new RandomEntries(new Random(SEED));

        /** Guards against bytes, and thus versions, that depend on the order of entries. */
        @Test
        void giveTheSameDocumentInAnyOrder() {
            Random random = new Random(SEED);
            for (int round = 0; round < ROUNDS; round++) {
                List<Entry> entries = mEntries.next();
                Document document = CatalogueCodec.toDocument(round, entries);
                List<Entry> shuffled = new ArrayList<>(entries);
                Collections.shuffle(shuffled, random);
                assertThat(CatalogueCodec.toDocument(round, shuffled).version())
                        .isEqualTo(document.version());
                assertThat(CatalogueCodec.toEntries(document))
                        .containsExactlyInAnyOrderElementsOf(entries);
            }
        }

        /** Guards against values that the reader parses differently from what was formatted. */
        @Test
        void areUnchangedByATomlRoundTrip() {
            for (int round = 0; round < ROUNDS; round++) {
                List<Entry> entries = mEntries.next();
                String text = EntryFormatter.toToml(entries);
                CatalogueReading reading = CatalogueReader.read("round " + round, text);
                assertThat(reading.faults()).isEmpty();
                assertThat(reading.entries()).containsExactlyInAnyOrderElementsOf(entries);
            }
        }

        /** Guards against an unexpected exception on a node that receives damaged parts. */
        @Test
        void withDamagedBytesAreReportedAsFaults() {
            Random random = new Random(SEED);
            for (int round = 0; round < ROUNDS; round++) {
                Document document = CatalogueCodec.toDocument(1, mEntries.next());
                TreeMap<String, ByteString> contents = new TreeMap<>(document.contents());
                byte[] bytes = contents.get("global").toByteArray();
                if (bytes.length > 0) {
                    bytes[random.nextInt(bytes.length)] ^= (byte) (1 + random.nextInt(255));
                }
                contents.put("global", ByteString.copyFrom(bytes));
                // Random ids end with a digit and random owners have none, so that the reference
                // to the owner is always a fault.
                assertThat(CatalogueChecker.check(Document.of(1, contents))).isNotEmpty();
            }
        }
    }
}
