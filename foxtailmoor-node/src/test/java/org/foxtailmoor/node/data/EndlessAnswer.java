package org.foxtailmoor.node.data;

/** Answers of a target that never end or are followed by bytes that never end. */
enum EndlessAnswer {
    STATUS_LINE("", "x", false),
    LINES_BEFORE_THE_STATUS_LINE("", "nonsense\r\n", false),
    LINE_BREAKS_BEFORE_THE_STATUS_LINE("", "\r\n", false),
    INTERIM_ANSWERS("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", false),
    ANSWERS_TO_ANOTHER_REQUEST(
            "",
            "HTTP/1.1 200 OK\r\nfoxtailmoor-request-id: 2\r\nContent-Length: 1\r\n\r\nx",
            false),
    BODY_TO_ANOTHER_REQUEST("HTTP/1.1 200 OK\r\nfoxtailmoor-request-id: 2\r\n\r\n", "x", false),
    HEADER_LINE(Constants.HEAD + "a: ", "x", false),
    HEADER_LINES(Constants.HEAD, "a: b\r\n", false),
    BODY_WITHOUT_LENGTH(Constants.HEAD + "\r\n", "x", false),
    BODY_WITH_LENGTH_BEYOND_THE_MEMORY(
            Constants.HEAD + "Content-Length: 9000000000\r\n\r\n", "x", false),
    CHUNK(Constants.CHUNKED + "7fffffff\r\n", "x", false),
    CHUNKS(Constants.CHUNKED, "1\r\nx\r\n", false),
    CHUNK_SIZE(Constants.CHUNKED, "0", false),
    CHUNK_EXTENSION(Constants.CHUNKED + "1;", "x", false),
    CHUNKS_WITH_EXTENSIONS(Constants.CHUNKED, "1;" + "x".repeat(8_000) + "\r\nx\r\n", false),
    TRAILER_LINE(Constants.CHUNKED + "0\r\na: ", "x", false),
    TRAILER_LINES(Constants.CHUNKED + "0\r\n", "a: b\r\n", false),

    BYTES_AFTER_THE_LENGTH(Constants.COMPLETE, "x", true),
    LINE_BREAKS_AFTER_THE_LENGTH(Constants.COMPLETE, "\r\n", true),
    ANSWERS_AFTER_THE_ANSWER(Constants.COMPLETE, Constants.COMPLETE, true),
    BYTES_AFTER_THE_LAST_CHUNK(Constants.CHUNKED + "4\r\ndone\r\n0\r\n\r\n", "x", true);

    private static final class Constants {
        private static final String HEAD = "HTTP/1.1 200 OK\r\nfoxtailmoor-request-id: 1\r\n";
        private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
        private static final String COMPLETE = HEAD + "Content-Length: 4\r\n\r\ndone";
    }

    /** Value of the request id header that the answers carry. */
    static final String REQUEST_ID = "1";

    /** Complete answer with the body "done". */
    static final String COMPLETE_ANSWER = Constants.COMPLETE;

    private final String mStart;
    private final String mRepeated;
    private final boolean mComplete;

    EndlessAnswer(String start, String repeated, boolean complete) {
        mStart = start;
        mRepeated = repeated;
        mComplete = complete;
    }

    String start() {
        return mStart;
    }

    /** Returns the text that is repeated without end. */
    String repeated() {
        return mRepeated;
    }

    /** Returns whether the start is a complete answer with the body "done". */
    boolean isComplete() {
        return mComplete;
    }
}
