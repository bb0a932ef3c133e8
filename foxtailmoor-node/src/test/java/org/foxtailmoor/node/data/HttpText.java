package org.foxtailmoor.node.data;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP message read from a socket; header names are lower case. */
record HttpText(String firstLine, Map<String, String> headers, byte[] body) {
    /** Reads the next message; returns null at the end of the stream. */
    static HttpText read(InputStream input, boolean bodiless) throws IOException {
        String first = line(input);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(input); !line.isEmpty(); line = line(input)) {
            int colon = line.indexOf(':');
            String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
            headers.put(name, line.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new HttpText(first, headers, bodiless ? new byte[0] : input.readNBytes(length));
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                return null;
            }
            line.write(next);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }
}
