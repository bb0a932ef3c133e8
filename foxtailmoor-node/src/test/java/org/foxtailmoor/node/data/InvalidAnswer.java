package org.foxtailmoor.node.data;

/**
 * Answers of a target that are not valid HTTP/1.1 responses to a request without an upgrade, see
 * RFC 9110 and RFC 9112. They have the id {@link EndlessAnswer#REQUEST_ID}.
 */
enum InvalidAnswer {
    STATUS_ZERO(Part.statusLine("HTTP/1.1 000 x")),
    STATUS_BELOW_100(Part.statusLine("HTTP/1.1 099 x")),
    STATUS_ABOVE_599(Part.statusLine("HTTP/1.1 600 x")),
    STATUS_999(Part.statusLine("HTTP/1.1 999 x")),
    STATUS_OF_TWO_DIGITS(Part.statusLine("HTTP/1.1 20 OK")),
    STATUS_OF_FOUR_DIGITS(Part.statusLine("HTTP/1.1 2000 OK")),
    STATUS_WITH_LEADING_ZERO(Part.statusLine("HTTP/1.1 0200 OK")),
    STATUS_WITH_PLUS(Part.statusLine("HTTP/1.1 +20 OK")),
    STATUS_WITH_MINUS(Part.statusLine("HTTP/1.1 -20 OK")),
    STATUS_WITH_LETTER(Part.statusLine("HTTP/1.1 20O OK")),
    STATUS_WITHOUT_BLANK_BEHIND_IT(Part.statusLine("HTTP/1.1 200OK")),
    STATUS_BEHIND_TWO_BLANKS(Part.statusLine("HTTP/1.1  200 OK")),
    STATUS_BEHIND_TAB(Part.statusLine("HTTP/1.1\t200 OK")),
    STATUS_BEFORE_TAB(Part.statusLine("HTTP/1.1 200\tOK")),
    STATUS_MISSING(Part.statusLine("HTTP/1.1")),
    STATUS_NOT_REQUESTED(Part.statusLine("HTTP/1.1 101 Switching Protocols")),
    REASON_WITH_CONTROL_BYTE(Part.statusLine("HTTP/1.1 200 O\u0001K")),
    REASON_WITH_DELETE(Part.statusLine("HTTP/1.1 200 O\u007fK")),
    REASON_WITH_CARRIAGE_RETURN(Part.statusLine("HTTP/1.1 200 O\rK")),
    VERSION_IN_LOWER_CASE(Part.statusLine("http/1.1 200 OK")),
    VERSION_2_0(Part.statusLine("HTTP/2.0 200 OK")),
    VERSION_0_9(Part.statusLine("HTTP/0.9 200 OK")),
    VERSION_WITH_LONG_MINOR(Part.statusLine("HTTP/1.10 200 OK")),
    VERSION_WITH_LONG_MAJOR(Part.statusLine("HTTP/11.1 200 OK")),
    VERSION_WITHOUT_MINOR(Part.statusLine("HTTP/1. 200 OK")),
    VERSION_OF_ANOTHER_PROTOCOL(Part.statusLine("ICY/1.1 200 OK")),
    BLANK_BEFORE_STATUS_LINE(Part.statusLine(" HTTP/1.1 200 OK")),
    NULL_BEFORE_STATUS_LINE(Part.statusLine("\u0000HTTP/1.1 200 OK")),
    EMPTY_LINE_BEFORE_STATUS_LINE(Part.statusLine("\r\nHTTP/1.1 200 OK")),
    BARE_LINE_FEED_AFTER_STATUS_LINE("HTTP/1.1 200 OK\n" + Part.ID + Part.LENGTH + "\r\ndone"),

    BLANK_IN_NAME(Part.field("X Name: a\r\n")),
    TAB_IN_NAME(Part.field("X\tName: a\r\n")),
    BLANK_AFTER_NAME(Part.field("Name : a\r\n")),
    TAB_AFTER_NAME(Part.field("Name\t: a\r\n")),
    BLANK_BEFORE_NAME(Part.field(" Name: a\r\n")),
    BLANK_BEFORE_FIRST_NAME("HTTP/1.1 200 OK\r\n a: b\r\n" + Part.ID + Part.LENGTH + "\r\ndone"),
    CONTROL_BYTE_IN_NAME(Part.field("X\u0001Name: a\r\n")),
    NULL_IN_NAME(Part.field("X\u0000Name: a\r\n")),
    DELETE_IN_NAME(Part.field("X\u007fName: a\r\n")),
    CARRIAGE_RETURN_IN_NAME(Part.field("X\rName: a\r\n")),
    OBSOLETE_TEXT_IN_NAME(Part.field("X\u00e9Name: a\r\n")),
    PARENTHESIS_IN_NAME(Part.field("X(Name: a\r\n")),
    QUOTE_IN_NAME(Part.field("X\"Name: a\r\n")),
    AT_SIGN_IN_NAME(Part.field("X@Name: a\r\n")),
    EMPTY_NAME(Part.field(": a\r\n")),
    NO_COLON(Part.field("Name\r\n")),
    FOLDED_VALUE(Part.field("Name: a\r\n b\r\n")),
    FOLDED_VALUE_BEHIND_TAB(Part.field("Name: a\r\n\tb\r\n")),
    NULL_IN_VALUE(Part.field("Name: a\u0000b\r\n")),
    CONTROL_BYTE_IN_VALUE(Part.field("Name: a\u0001b\r\n")),
    VERTICAL_TAB_IN_VALUE(Part.field("Name: a\u000bb\r\n")),
    DELETE_IN_VALUE(Part.field("Name: a\u007fb\r\n")),
    CARRIAGE_RETURN_IN_VALUE(Part.field("Name: a\rb\r\n")),
    BARE_LINE_FEED_AFTER_VALUE(Part.field("Name: a\n")),
    BLANK_IN_NAME_OF_LENGTH(Part.length("Content Length: 2\r\n")),
    BLANK_IN_SHORT_NAME_OF_LENGTH(Part.length("Content-Length x: 2\r\n")),
    BLANK_AFTER_NAME_OF_LENGTH(Part.length("Content-Length : 4\r\n")),
    CONTROL_BYTE_IN_NAME_OF_LENGTH(Part.length("Content\u0001Length: 4\r\n")),
    BLANK_AFTER_NAME_OF_CODING(Part.chunked("Transfer-Encoding : chunked\r\n")),
    BLANK_IN_NAME_OF_ID("HTTP/1.1 200 OK\r\nfoxtailmoor-request-id x: 1\r\n\r\n"),
    BLANK_IN_NAME_OF_INTERIM_ANSWER("HTTP/1.1 103 x\r\nX Name: a\r\n\r\n" + Part.COMPLETE),
    BLANK_IN_NAME_OF_TRAILER(Part.chunks("4\r\ndone\r\n0\r\nX Name: a\r\n\r\n")),
    FOLDED_TRAILER(Part.chunks("4\r\ndone\r\n0\r\nName: a\r\n b\r\n\r\n")),
    BLANK_BEFORE_TRAILER(Part.chunks("4\r\ndone\r\n0\r\n Name: a\r\n\r\n")),
    CONTROL_BYTE_IN_TRAILER(Part.chunks("4\r\ndone\r\n0\r\nName: \u0001\r\n\r\n")),

    LENGTH_TWICE(Part.length("Content-Length: 4\r\nContent-Length: 4\r\n")),
    LENGTHS_DIFFER(Part.length("Content-Length: 4\r\nContent-Length: 2\r\n")),
    LENGTHS_DIFFER_IN_VERSION_1_0(Part.length10("Content-Length: 2\r\nContent-Length: 4\r\n")),
    LENGTH_LIST(Part.length("Content-Length: 4, 4\r\n")),
    LENGTH_LIST_IN_VERSION_1_0(Part.length10("Content-Length: 4, 4\r\n")),
    LENGTH_WITH_PLUS(Part.length("Content-Length: +4\r\n")),
    LENGTH_NEGATIVE(Part.length("Content-Length: -4\r\n")),
    LENGTH_IN_HEXADECIMAL(Part.length("Content-Length: 0x4\r\n")),
    LENGTH_WITH_LETTER(Part.length("Content-Length: 4a\r\n")),
    LENGTH_WITH_BLANK(Part.length("Content-Length: 4 4\r\n")),
    LENGTH_EMPTY(Part.length("Content-Length:\r\n")),
    LENGTH_OVERFLOW(Part.length("Content-Length: 18446744073709551620\r\n")),
    LENGTH_AND_CHUNKED(Part.chunked("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n")),
    CHUNKED_AND_LENGTH(Part.chunked("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n")),
    LENGTH_OF_NO_CONTENT("HTTP/1.1 204 x\r\n" + Part.ID + Part.LENGTH + "\r\n"),
    LENGTH_OF_INTERIM_ANSWER("HTTP/1.1 103 x\r\n" + Part.LENGTH + "\r\n" + Part.COMPLETE),
    LENGTH_OF_RESET_CONTENT("HTTP/1.1 205 x\r\n" + Part.ID + Part.LENGTH + "\r\ndone"),
    CHUNKED_IN_VERSION_1_0(
            "HTTP/1.0 200 OK\r\n" + Part.ID + Part.CODING + "\r\n4\r\ndone\r\n0\r\n\r\n"),
    CHUNKED_NO_CONTENT("HTTP/1.1 204 x\r\n" + Part.ID + Part.CODING + "\r\n0\r\n\r\n"),
    CHUNKED_INTERIM_ANSWER("HTTP/1.1 103 x\r\n" + Part.CODING + "\r\n" + Part.COMPLETE),
    CHUNKED_RESET_CONTENT(
            "HTTP/1.1 205 x\r\n" + Part.ID + Part.CODING + "\r\n4\r\ndone\r\n0\r\n\r\n"),
    CHUNKED_TWICE(Part.chunked("Transfer-Encoding: chunked, chunked\r\n")),
    CHUNKED_IN_TWO_FIELDS(
            Part.chunked("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")),
    CODING_BEFORE_CHUNKED(Part.chunked("Transfer-Encoding: gzip, chunked\r\n")),
    CODING_AFTER_CHUNKED(Part.chunked("Transfer-Encoding: chunked, gzip\r\n")),
    CODING_WITH_PARAMETER(Part.chunked("Transfer-Encoding: chunked;a=b\r\n")),
    CODING_UNKNOWN(Part.chunked("Transfer-Encoding: xchunked\r\n")),
    CODING_IDENTITY(Part.chunked("Transfer-Encoding: identity\r\n")),
    CODING_EMPTY(Part.chunked("Transfer-Encoding:\r\n")),

    CHUNK_SIZE_MISSING(Part.chunks("\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_WITHOUT_DIGITS(Part.chunks(";a=b\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_WITH_LETTER(Part.chunks("4g\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_NEGATIVE(Part.chunks("-4\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_WITH_PLUS(Part.chunks("+4\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_WITH_PREFIX(Part.chunks("0x4\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEFORE_BLANK(Part.chunks("4 \r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEFORE_TEXT(Part.chunks("4 4\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEFORE_CONTROL_BYTE(Part.chunks("4\u0001\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEHIND_BLANK(Part.chunks(" 4\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_OVERFLOW(Part.chunks("100000004\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_LONG_OVERFLOW(Part.chunks("10000000000000004\r\ndone\r\n0\r\n\r\n")),
    CHUNK_SIZE_BEFORE_LINE_FEED(Part.chunks("4\ndone\r\n0\r\n\r\n")),
    CHUNK_EXTENSION_WITHOUT_NAME(Part.chunks("4;\r\ndone\r\n0\r\n\r\n")),
    CHUNK_EXTENSION_WITHOUT_VALUE(Part.chunks("4;a=\r\ndone\r\n0\r\n\r\n")),
    CHUNK_EXTENSION_WITH_OPEN_QUOTE(Part.chunks("4;a=\"b\r\ndone\r\n0\r\n\r\n")),
    CHUNK_EXTENSION_WITH_TWO_WORDS(Part.chunks("4;a b\r\ndone\r\n0\r\n\r\n")),
    CHUNK_EXTENSION_WITH_CONTROL_BYTE(Part.chunks("4;a=\u0001\r\ndone\r\n0\r\n\r\n")),
    CHUNK_EXTENSION_WITH_LINE_FEED(Part.chunks("4;a\ndone\r\n0\r\n\r\n")),
    CHUNK_LONGER_THAN_ITS_SIZE(Part.chunks("4\r\ndone!\r\n0\r\n\r\n")),
    CHUNK_BEFORE_LINE_FEED(Part.chunks("4\r\ndone\n0\r\n\r\n")),
    CHUNK_WITHOUT_LINE_END(Part.chunks("4\r\ndone0\r\n\r\n")),
    LAST_CHUNK_BEFORE_LINE_FEED(Part.chunks("4\r\ndone\r\n0\n\r\n")),
    TRAILERS_BEFORE_LINE_FEED(Part.chunks("4\r\ndone\r\n0\r\na: b\r\n\n"));

    private static final class Part {
        private static final String ID = "foxtailmoor-request-id: 1\r\n";
        private static final String LENGTH = "Content-Length: 4\r\n";
        private static final String CODING = "Transfer-Encoding: chunked\r\n";
        private static final String COMPLETE = field("");

        static String statusLine(String line) {
            return line + "\r\n" + ID + LENGTH + "\r\ndone";
        }

        static String field(String lines) {
            return "HTTP/1.1 200 OK\r\n" + ID + lines + LENGTH + "\r\ndone";
        }

        static String length(String lines) {
            return "HTTP/1.1 200 OK\r\n" + ID + lines + "\r\ndone";
        }

        static String length10(String lines) {
            return "HTTP/1.0 200 OK\r\n" + ID + lines + "\r\ndone";
        }

        static String chunked(String lines) {
            return "HTTP/1.1 200 OK\r\n" + ID + lines + "\r\n4\r\ndone\r\n0\r\n\r\n";
        }

        static String chunks(String chunks) {
            return "HTTP/1.1 200 OK\r\n" + ID + CODING + "\r\n" + chunks;
        }
    }

    private final String mText;

    InvalidAnswer(String text) {
        mText = text;
    }

    /** Returns the answer as sent; it may be followed by the end of the connection. */
    String text() {
        return mText;
    }
}
