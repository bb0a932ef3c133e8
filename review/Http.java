import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 reading, for stand-ins only. */
final class Http {
    /** Start line and headers of a message; header names are in lower case. */
    record Head(String startLine, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String part(int index) {
            return startLine.split(" ", 3)[index];
        }

        long length() {
            String value = header("content-length");
            return value == null ? -1 : Long.parseLong(value);
        }
    }

    private Http() {}

    /** Returns the next head, or null if the connection ended before its first byte. */
    static Head readHead(InputStream input) throws IOException {
        String start = readLine(input);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        while (true) {
            String line = readLine(input);
            if (line == null) {
                throw new EOFException("connection ended within a head");
            }
            if (line.isEmpty()) {
                return new Head(start, headers);
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
    }

    /** Reads the body of an answer: by length, in chunks, or until the end of the connection. */
    static byte[] readAnswerBody(InputStream input, Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(input);
                if (line == null) {
                    throw new EOFException("connection ended within a chunked body");
                }
                int size = Integer.parseInt(line.split(";")[0].strip(), 16);
                if (size == 0) {
                    while (!"".equals(readLine(input))) {}
                    return body.toByteArray();
                }
                body.write(readFully(input, size));
                readLine(input);
            }
        }
        return head.length() < 0 ? input.readAllBytes() : readFully(input, head.length());
    }

    static byte[] readFully(InputStream input, long length) throws IOException {
        byte[] bytes = input.readNBytes((int) length);
        if (bytes.length < length) {
            throw new EOFException("body has " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int read = input.read();
            if (read < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended within a line");
            }
            if (read == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
            }
            line.write(read);
        }
    }
}
