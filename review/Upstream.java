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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;

/**
 * Stand-in for an upstream. It echoes X-Request-Id, signs its answers, checks X-Expect-Instance,
 * answers health checks, runs as many requests at a time as it has slots and queues the others.
 */
class Upstream {
    /** A request that an upstream began to run. */
    record Run(String id, String service, String instance, String method, String path, double at) {}

    final Lab lab;
    final String id;
    final String service;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Semaphore mSlots;
    private final double mWorkSeconds;
    private final InetSocketAddress mAddress;
    private volatile ServerSocket mServer;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();

    Upstream(Lab lab, String id, String service, int machine, int slots, double workSeconds)
            throws IOException {
        this.lab = lab;
        this.id = id;
        this.service = service;
        mSlots = new Semaphore(slots, true);
        mWorkSeconds = workSeconds;
        mAddress = new InetSocketAddress(InetAddress.getByName(lab.ip(machine)), lab.appPort);
        listen();
    }

    private void listen() throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(mAddress, 128);
        mServer = server;
        Lab.daemon("upstream-" + id, () -> accept(server));
    }

    /** Crashes: all connections are reset; the upstream is back after a time. */
    final void crash(double downSeconds) throws IOException {
        synchronized (this) {
            if (mServer.isClosed()) {
                return;
            }
            mServer.close();
        }
        for (Socket socket : mOpen) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
        Lab.daemon(
                "upstream-restart-" + id,
                () -> {
                    Lab.sleep(downSeconds);
                    listen();
                    lab.record("upstream " + id + " is back");
                });
    }

    /** Ends the upstream: its connections are closed. */
    void stop() throws IOException {
        mServer.close();
        for (Socket socket : mOpen) {
            socket.close();
        }
        lab.record("upstream " + id + " has exited");
    }

    private void accept(ServerSocket server) throws IOException {
        while (true) {
            Socket socket;
            try {
                socket = server.accept();
            } catch (IOException e) {
                return;
            }
            socket.setTcpNoDelay(true);
            mOpen.add(socket);
            Lab.daemon("upstream-connection-" + id, () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            Http.Head head = Http.readHead(input);
            while (head != null) {
                if (!handle(socket, input, output, head)) {
                    return;
                }
                head = Http.readHead(input);
            }
        } catch (IOException e) {
            // The caller closed the connection, or the upstream has exited.
        } finally {
            mOpen.remove(socket);
        }
    }

    /** Handles a request and returns whether the connection is kept. */
    private boolean handle(Socket socket, InputStream input, OutputStream output, Http.Head head)
            throws Exception {
        String request = head.header("x-request-id");
        if (head.part(1).equals("/healthz")) {
            answer(output, "200 OK", "X-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        String expected = head.header("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            Http.readFully(input, Math.max(0, head.length()));
            answer(
                    output,
                    "421 Misdirected Request",
                    "X-Request-Id: " + request + "\r\nX-Instance-Id: " + id + "\r\n",
                    new byte[0]);
            return true;
        }
        return run(socket, input, output, head);
    }

    /** Runs a request and returns whether the connection is kept. */
    boolean run(Socket socket, InputStream input, OutputStream output, Http.Head head)
            throws Exception {
        Http.readFully(input, Math.max(0, head.length()));
        mSlots.acquire();
        try {
            recordRun(head);
            Lab.sleep(mWorkSeconds);
        } finally {
            mSlots.release();
        }
        String request = head.header("x-request-id");
        answer(output, "200 OK", identity(request), body(request));
        return true;
    }

    final void recordRun(Http.Head head) {
        String request = head.header("x-request-id");
        runs.add(new Run(request, service, id, head.part(0), head.part(1), lab.now()));
        lab.record(
                "run      "
                        + request
                        + " at "
                        + id
                        + " of "
                        + service
                        + ": "
                        + head.part(0)
                        + " "
                        + head.part(1)
                        + " deadline "
                        + head.header("x-deadline-ms")
                        + " ms");
    }

    final String identity(String request) {
        return "X-Request-Id: " + request + "\r\nX-Server-Signature: " + signature(request) + "\r\n";
    }

    final String signature(String request) {
        return id + "." + request;
    }

    private byte[] body(String request) {
        return ("answer of " + id + " to " + request).getBytes(StandardCharsets.ISO_8859_1);
    }

    static void answer(OutputStream output, String status, String headers, byte[] body)
            throws IOException {
        output.write(
                ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        output.write(body);
        output.flush();
    }
}
