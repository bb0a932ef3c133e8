package lab3;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one kept connection to the outbound address of its machine. */
public final class Client implements AutoCloseable {
    private final String mHost;
    private final int mPort;
    public Socket mSocket;
    private InputStream mInput;

    public Client(String host, int port) {
        mHost = host;
        mPort = port;
    }

    /** Sends a request and returns its answer; throws if the connection ends without one. */
    public Message send(
            String method, String host, String path, String id, int deadlineMs, byte[] body)
            throws IOException {
        start(method, host, path, id, deadlineMs, body);
        return finish(deadlineMs);
    }

    public void start(
            String method, String host, String path, String id, int deadlineMs, byte[] body)
            throws IOException {
        if (mSocket == null) {
            mSocket = new Socket();
            mSocket.setTcpNoDelay(true);
            mSocket.connect(new InetSocketAddress(mHost, mPort), 1_000);
            mInput = new BufferedInputStream(mSocket.getInputStream());
        }
        String head =
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + host
                        + "\r\nX-Request-Id: "
                        + id
                        + "\r\nX-Deadline-Ms: "
                        + deadlineMs
                        + "\r\n"
                        + (body.length > 0 || method.equals("POST")
                                ? "Content-Length: " + body.length + "\r\n"
                                : "")
                        + "\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + body.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(body, 0, all, headBytes.length, body.length);
        mSocket.getOutputStream().write(all);
    }

    public Message finish(int timeoutMs) throws IOException {
        mSocket.setSoTimeout(timeoutMs);
        Message answer = Message.read(mInput);
        if (answer == null) {
            close();
            throw new IOException("the connection ended without an answer");
        }
        if (answer.header("connection").equalsIgnoreCase("close")) {
            close();
        }
        return answer;
    }

    @Override
    public void close() throws IOException {
        if (mSocket != null) {
            mSocket.close();
            mSocket = null;
        }
    }
}
