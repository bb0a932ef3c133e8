package review2;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Minimal HTTP/1.1 server and client of the stand-ins, with one thread per connection. */
final class Http {
    private Http() {}

    /** Head of a message: the words of its first line and its headers by lower-case name. */
    record Head(String[] words, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name);
        }

        long contentLength() {
            String length = headers.get("content-length");
            return length == null ? -1 : Long.parseLong(length);
        }

        boolean isChunked() {
            return "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
        }

        String path() {
            return words[1].split("\\?", 2)[0];
        }

        Map<String, String> query() {
            Map<String, String> values = new HashMap<>();
            String[] parts = words[1].split("\\?", 2);
            if (parts.length == 2) {
                for (String field : parts[1].split("&")) {
                    String[] pair = field.split("=", 2);
                    values.put(
                            pair[0],
                            URLDecoder.decode(pair[pair.length - 1], StandardCharsets.UTF_8));
                }
            }
            return values;
        }
    }

    /** Answer as a client sees it. {@code complete} tells whether it ended as its head says. */
    record Answer(int status, Map<String, String> headers, byte[] body, boolean complete) {}

    /** Handles a request whose head was read. Returns whether the connection stays open. */
    interface Handler {
        boolean handle(Head head, InputStream in, Socket socket) throws IOException;
    }

    /** Server on a loopback address. */
    static final class Server implements AutoCloseable {
        private final ServerSocket mSocket = new ServerSocket();
        private final Handler mHandler;
        private final Set<Socket> mConnections = ConcurrentHashMap.newKeySet();

        Server(String address, int port, Handler handler) throws IOException {
            mHandler = handler;
            mSocket.setReuseAddress(true);
            mSocket.bind(new InetSocketAddress(InetAddress.getByName(address), port), 512);
            Thread acceptor = new Thread(this::accept, "accept " + port);
            acceptor.setDaemon(true);
            acceptor.start();
        }

        int port() {
            return mSocket.getLocalPort();
        }

        @Override
        public void close() throws IOException {
            mSocket.close();
            for (Socket connection : mConnections) {
                closeQuietly(connection);
            }
        }

        private void accept() {
            while (!mSocket.isClosed()) {
                try {
                    Socket connection = mSocket.accept();
                    Thread thread = new Thread(() -> serve(connection), "connection");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            mConnections.add(connection);
            try {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream(), 8_192);
                boolean open = true;
                while (open) {
                    Head head = readHead(in);
                    open = head != null && mHandler.handle(head, in, connection);
                }
            } catch (IOException | RuntimeException e) {
                // The peer ended the connection.
            } finally {
                mConnections.remove(connection);
                closeQuietly(connection);
            }
        }
    }

    static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing is left to do.
        }
    }

    /** Reads a head, or returns null at the end of the stream. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
            line = readLine(in);
        }
        if (line == null) {
            throw new EOFException("head");
        }
        return new Head(first.split(" ", 3), headers);
    }

    /** Reads the body of a request. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        if (head.isChunked()) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            int length = Integer.parseInt(readLine(in).strip(), 16);
            while (length > 0) {
                body.write(readExactly(in, length));
                readLine(in);
                length = Integer.parseInt(readLine(in).strip(), 16);
            }
            readLine(in);
            return body.toByteArray();
        }
        long length = Math.max(0, head.contentLength());
        return readExactly(in, (int) length);
    }

    static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next != '\n') {
            if (next < 0) {
                throw new EOFException("line");
            }
            if (next != '\r') {
                line.append((char) next);
            }
            next = in.read();
        }
        return line.toString();
    }

    /** Writes a complete answer. */
    static void answer(OutputStream out, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        head.append("Content-Length: " + body.length + "\r\n\r\n");
        ByteArrayOutputStream message = new ByteArrayOutputStream();
        message.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        message.write(body);
        out.write(message.toByteArray());
        out.flush();
    }

    /** Request of a client. */
    record Request(
            String method, String path, String host, String id, int deadlineMs, byte[] body) {
        byte[] head() {
            return (method
                            + " "
                            + path
                            + " HTTP/1.1\r\nHost: "
                            + host
                            + "\r\nX-Request-Id: "
                            + id
                            + "\r\nX-Deadline-Ms: "
                            + deadlineMs
                            + "\r\n"
                            + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "")
                            + "\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** Connection of a client, on which requests are sent one after the other. */
    static final class Connection implements AutoCloseable {
        private final Socket mSocket = new Socket();
        private final InputStream mIn;

        Connection(String address, int port, int timeoutMs) throws IOException {
            mSocket.setTcpNoDelay(true);
            mSocket.connect(new InetSocketAddress(InetAddress.getByName(address), port), 1_000);
            mSocket.setSoTimeout(timeoutMs);
            mIn = new BufferedInputStream(mSocket.getInputStream(), 65_536);
        }

        Answer call(Request request) throws IOException {
            OutputStream out = mSocket.getOutputStream();
            out.write(request.head());
            out.write(request.body());
            out.flush();
            return readAnswer();
        }

        private Answer readAnswer() throws IOException {
            Head head = readHead(mIn);
            if (head == null) {
                throw new EOFException("no answer");
            }
            int status = Integer.parseInt(head.words()[1]);
            long length = head.contentLength();
            if (length >= 0) {
                byte[] body = mIn.readNBytes((int) length);
                return new Answer(status, head.headers(), body, body.length == length);
            }
            if (head.isChunked()) {
                return new Answer(status, head.headers(), readBody(head, mIn), true);
            }
            return new Answer(status, head.headers(), mIn.readAllBytes(), true);
        }

        @Override
        public void close() {
            closeQuietly(mSocket);
        }
    }

    /** Sends a request on a connection of its own; returns null if it got no whole answer. */
    static Answer callOnce(String address, int port, Request request, int timeoutMs) {
        try (Connection connection = new Connection(address, port, timeoutMs)) {
            return connection.call(request);
        } catch (IOException e) {
            return null;
        }
    }
}
