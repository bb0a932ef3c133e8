package org.foxtailmoor.http;

import java.util.BitSet;

/** Character classes of RFC 9110, section 5.6, for bytes and for the characters of a string. */
enum Characters {
    DIGITS,
    /** A space and a horizontal tab. */
    BLANKS,
    /** What may stand in a token, such as a field name. */
    TOKEN,
    /** What may stand in a field value or a reason phrase. */
    TEXT;

    private static final int MAX_OCTET = 0xff;
    private static final int DELETE = 0x7f;

    private final BitSet mMembers = new BitSet();

    static {
        DIGITS.mMembers.set('0', '9' + 1);
        BLANKS.mMembers.set(' ');
        BLANKS.mMembers.set('\t');
        TOKEN.mMembers.or(DIGITS.mMembers);
        TOKEN.mMembers.set('A', 'Z' + 1);
        TOKEN.mMembers.set('a', 'z' + 1);
        for (char delimiter : "!#$%&'*+-.^_`|~".toCharArray()) {
            TOKEN.mMembers.set(delimiter);
        }
        TEXT.mMembers.or(BLANKS.mMembers);
        TEXT.mMembers.set(' ', MAX_OCTET + 1);
        TEXT.mMembers.clear(DELETE);
    }

    /** Returns whether a character belongs to this class; a negative number does not. */
    boolean contains(int character) {
        return character >= 0 && mMembers.get(character);
    }

    /** Returns whether each character of a text belongs to this class; true for an empty text. */
    boolean containsAll(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!mMembers.get(text.charAt(i))) {
                return false;
            }
        }
        return true;
    }
}
