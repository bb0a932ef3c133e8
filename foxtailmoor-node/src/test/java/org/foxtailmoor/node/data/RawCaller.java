package org.foxtailmoor.node.data;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A caller that writes and reads HTTP byte by byte, to do what HTTP libraries do not. */
final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLISECONDS = 10_000;

    /** One answer; the body is empty if the answer announces none. */
    record Answer(int status, Map<String, String> headers, String body) {}

    private final Socket mSocket = new Socket();
    private final InputStream mInput;

    RawCaller(InetSocketAddress address) throws IOException {
        mSocket.connect(address);
        mSocket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
        mInput = mSocket.getInputStream();
    }

    RawCaller send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        mSocket.getOutputStream().flush();
        return this;
    }

    /** Reads an answer, without a body if the request was a HEAD request. */
    Answer read(boolean headRequest) throws IOException {
        HttpText text = HttpText.read(mInput, headRequest);
        if (text == null) {
            throw new IOException("the answer was cut");
        }
        int status = Integer.parseInt(text.firstLine().split(" ")[1]);
        return new Answer(status, text.headers(), new String(text.body(), StandardCharsets.UTF_8));
    }

    Answer read() throws IOException {
        return read(false);
    }

    /** Returns whether the node has ended the connection; waits for the next byte otherwise. */
    boolean isEnded() throws IOException {
        return mInput.read() < 0;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
