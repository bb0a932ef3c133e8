package lab3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A sound upstream: checks the expected instance, runs a request, signs its answer. */
public class Upstream {
    /** A request that the upstream began to run. */
    public record Run(long nanoseconds, String line, String id, String caller, byte[] body) {}

    /** Connection that the thread serves. */
    protected static final ThreadLocal<Socket> SOCKET = new ThreadLocal<>();

    public final String mId;
    public final String mService;
    public final List<Run> mRuns = new CopyOnWriteArrayList<>();
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final ServerSocket mServer;
    public volatile int mWorkMilliseconds;

    public Upstream(String host, String id, String service, int workMilliseconds)
            throws IOException {
        this(host, 0, id, service, workMilliseconds);
    }

    /** Starts an upstream at an address, which may have been that of another one. */
    public Upstream(String host, int port, String id, String service, int workMilliseconds)
            throws IOException {
        mId = id;
        mService = service;
        mWorkMilliseconds = workMilliseconds;
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getByName(host), port), 256);
        Threads.start(this::acceptAll);
    }

    public int port() {
        return mServer.getLocalPort();
    }

    /** Ends the upstream: it takes no connection any more and closes the open ones. */
    public void end() throws IOException {
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                Threads.start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The socket was closed.
        }
    }

    private void serve(Socket socket) {
        SOCKET.set(socket);
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            socket.setTcpNoDelay(true);
            Message request = Message.read(input);
            while (request != null) {
                serve(request, socket.getOutputStream());
                request = Message.read(input);
            }
        } catch (IOException | InterruptedException e) {
            // The caller has left.
        }
    }

    protected void serve(Message request, OutputStream output)
            throws IOException, InterruptedException {
        String id = request.header("x-request-id");
        if (request.second().equals("/healthz")) {
            write(output, "200 OK", "X-Instance-Id: " + mId + "\r\n", new byte[0]);
            return;
        }
        String expected = request.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            write(
                    output,
                    "421 Misdirected Request",
                    "X-Request-Id: " + id + "\r\nX-Instance-Id: " + mId + "\r\n",
                    new byte[0]);
            return;
        }
        if (id.isEmpty()) {
            write(output, "400 Bad Request", "X-Not-Executed: 1\r\n", new byte[0]);
            return;
        }
        mRuns.add(
                new Run(
                        System.nanoTime(),
                        request.startLine(),
                        id,
                        request.header("x-caller-service"),
                        request.body()));
        Thread.sleep(mWorkMilliseconds);
        byte[] body = ("ran " + id + " at " + mId + "\n").getBytes(StandardCharsets.ISO_8859_1);
        write(
                output,
                "200 OK",
                "X-Request-Id: " + id + "\r\nX-Server-Signature: " + mId + "." + id + "\r\n",
                body);
    }

    protected static void write(OutputStream output, String status, String fields, byte[] body)
            throws IOException {
        String head =
                "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        output.write(all);
        output.flush();
    }
}
