package lab3;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 message as read from a socket. Text is ISO-8859-1, so that it holds the bytes as sent. */
public record Message(String startLine, Map<String, String> headers, byte[] body) {
    /** Reads a message, or returns null at the end of the stream before its first byte. */
    public static Message read(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        String field = readLine(input);
        while (field != null && !field.isEmpty()) {
            int colon = field.indexOf(':');
            headers.put(
                    field.substring(0, colon).toLowerCase(Locale.ROOT),
                    field.substring(colon + 1).strip());
            field = readLine(input);
        }
        if (field == null) {
            throw new EOFException("the head is cut off");
        }
        return new Message(line, headers, readBody(input, headers));
    }

    /** Returns the second word of the start line: the target of a request, the status of an answer. */
    public String second() {
        return startLine.split(" ")[1];
    }

    public int status() {
        return Integer.parseInt(second());
    }

    public String header(String name) {
        return headers.getOrDefault(name, "");
    }

    public String text() {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    private static byte[] readBody(InputStream input, Map<String, String> headers)
            throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(input).split(";")[0].strip(), 16);
                body.write(readBytes(input, size));
                readLine(input);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        return readBytes(input, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    private static byte[] readBytes(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body is cut off");
        }
        return bytes;
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = input.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.append((char) next);
            }
            next = input.read();
        }
        if (next < 0) {
            throw new EOFException("a line is cut off");
        }
        return line.toString();
    }
}
