package org.foxtailmoor.catalogue;

import java.util.Objects;
import org.foxtailmoor.protocol.generated.Entry;

/**
 * One fault of a catalogue.
 *
 * @param type label of the entry's type, or {@code part}, {@code entry} or {@code catalogue}
 * @param id id of the entry or name of the part; empty if the fault concerns no single entry
 * @param owner id of the owner who can correct the fault; empty if unknown
 * @param field field of the entry; empty if the fault concerns the whole entry
 * @param message what is wrong and what is allowed
 */
public record CatalogueFault(String type, String id, String owner, String field, String message) {
    private static final String TYPE_PART = "part";
    private static final String TYPE_ENTRY = "entry";
    private static final String TYPE_CATALOGUE = "catalogue";

    /** Checks that no component is null. */
    public CatalogueFault {
        Objects.requireNonNull(type, "type");
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(field, "field");
        Objects.requireNonNull(message, "message");
    }

    /**
     * Creates a fault of an entry.
     *
     * @param entry faulty entry, not null
     * @param field field with the fault; empty if it concerns the whole entry
     * @param message what is wrong and what is allowed
     */
    public static CatalogueFault of(Entry entry, String field, String message) {
        String type = EntryType.of(entry).map(EntryType::label).orElse(TYPE_ENTRY);
        return new CatalogueFault(type, entry.getId(), entry.getOwner(), field, message);
    }

    /** Creates a fault of a part; the owner may be empty. */
    public static CatalogueFault ofPart(String name, String owner, String message) {
        return new CatalogueFault(TYPE_PART, name, owner, "", message);
    }

    /** Creates a fault of the catalogue as a whole. */
    public static CatalogueFault ofCatalogue(String message) {
        return new CatalogueFault(TYPE_CATALOGUE, "", "", "", message);
    }

    /** Returns whether another fault concerns the same field of the same entry. */
    public boolean concernsSameField(CatalogueFault other) {
        return !field.isEmpty()
                && type.equals(other.type)
                && id.equals(other.id)
                && field.equals(other.field);
    }

    /** Returns a one-line message such as {@code route orders (owner press): method: ...}. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder(type);
        if (!id.isEmpty()) {
            text.append(' ').append(id);
        }
        if (!owner.isEmpty()) {
            text.append(" (owner ").append(owner).append(')');
        }
        text.append(": ");
        if (!field.isEmpty()) {
            text.append(field).append(": ");
        }
        return text.append(message).toString();
    }
}
