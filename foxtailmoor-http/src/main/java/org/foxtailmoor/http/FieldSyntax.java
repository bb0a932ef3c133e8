package org.foxtailmoor.http;

import java.util.Objects;

/** Checks names and values of header fields that were not received as HTTP, see RFC 9110. */
public final class FieldSyntax {
    private FieldSyntax() {}

    /**
     * Returns whether a name can be written as the name of a field.
     *
     * @param name name, not null
     */
    public static boolean isName(String name) {
        return !Objects.requireNonNull(name, "name").isEmpty()
                && name.chars().allMatch(Characters::isToken);
    }

    /**
     * Returns whether a value can be written as the value of a field.
     *
     * @param value value, one character for each byte, not null
     */
    public static boolean isValue(String value) {
        return Objects.requireNonNull(value, "value").chars().allMatch(Characters::isText);
    }
}
