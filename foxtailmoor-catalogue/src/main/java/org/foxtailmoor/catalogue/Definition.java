package org.foxtailmoor.catalogue;

import java.util.Objects;

/**
 * One catalogue entry with its typed body.
 *
 * @param id id of the entry, unique among entries of its type
 * @param owner id of the owner entry
 * @param classId id of the class entry; empty for owners, classes and regions
 * @param body limits and references of the entry
 * @param <T> type of the body, one of the entry messages of the protocol
 */
public record Definition<T>(String id, String owner, String classId, T body) {
    /** Checks that no component is null. */
    public Definition {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(classId, "classId");
        Objects.requireNonNull(body, "body");
    }
}
