package org.foxtailmoor.catalogue;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailmoor.protocol.generated.Entry;

/** Generates entries with arbitrary values, valid or not, that differ in type or id. */
final class RandomEntries {
    private static final String CHARACTERS = "ab/\"\\\n\t\u0001\u007f# =[]é\u4e00";
    private static final int FIRST_BODY_FIELD = 10; // field number of owner_entry

    /** Field types of each body in the order of the types: s string, n number, b boolean. */
    private static final List<String> BODIES =
            List.of("s", "nn", "ssb", "snnnn", "sssbbnnss", "nnn", "nnn");

    private final Random mRandom;

    RandomEntries(Random random) {
        mRandom = random;
    }

    /** Returns up to 20 entries. */
    List<Entry> next() {
        List<Entry> entries = new ArrayList<>();
        int count = mRandom.nextInt(20);
        for (int index = 0; index < count; index++) {
            EntryType type = EntryType.values()[mRandom.nextInt(EntryType.values().length)];
            try {
                entries.add(entry(type, index));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
        return entries;
    }

    private Entry entry(EntryType type, int index) throws IOException {
        ByteString.Output bytes = ByteString.newOutput();
        CodedOutputStream output = CodedOutputStream.newInstance(bytes);
        output.writeByteArray(FIRST_BODY_FIELD + type.ordinal(), body(type).toByteArray());
        output.flush();
        return Entry.parseFrom(bytes.toByteString()).toBuilder()
                .setId(string() + index)
                .setOwner("o" + string())
                .setClassId(type.hasClass() ? string() : "")
                .build();
    }

    private ByteString body(EntryType type) throws IOException {
        ByteString.Output bytes = ByteString.newOutput();
        CodedOutputStream output = CodedOutputStream.newInstance(bytes);
        String fields = BODIES.get(type.ordinal());
        for (int field = 1; field <= fields.length(); field++) {
            switch (fields.charAt(field - 1)) {
                case 's' -> output.writeString(field, string());
                case 'n' -> output.writeUInt32(field, mRandom.nextInt() >>> mRandom.nextInt(32));
                default -> output.writeBool(field, mRandom.nextBoolean());
            }
        }
        output.flush();
        return bytes.toByteString();
    }

    private String string() {
        StringBuilder string = new StringBuilder();
        for (int length = mRandom.nextInt(6); length > 0; length--) {
            string.append(CHARACTERS.charAt(mRandom.nextInt(CHARACTERS.length())));
        }
        return string.toString();
    }
}
