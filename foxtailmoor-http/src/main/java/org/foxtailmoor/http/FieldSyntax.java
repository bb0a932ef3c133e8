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
                && Characters.TOKEN.containsAll(name);
    }

    /**
     * Returns whether a value is the length of a body.
     *
     * @param value value of a Content-Length field, not null
     */
    public static boolean isLength(String value) {
        return !Objects.requireNonNull(value, "value").isEmpty()
                && Characters.DIGITS.containsAll(value);
    }

    /**
     * Returns whether a value can be written as the value of a field.
     *
     * @param value value, one character for each byte, not null
     */
    public static boolean isValue(String value) {
        return Characters.TEXT.containsAll(Objects.requireNonNull(value, "value"));
    }
}
