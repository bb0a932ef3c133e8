package org.foxtailmoor.node.data;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** HTTP/1.1 target that answers before it has read the body of its request. */
final class EarlyTarget implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 16_384;
    private static final int TIMEOUT_MILLISECONDS = (int) TimeUnit.SECONDS.toMillis(10);
    private static final int BLOCK_BYTES = 65_536;

    private final ServerSocket mServer;
    private Socket mSocket;

    EarlyTarget() throws IOException {
        mServer = new ServerSocket();
        mServer.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        mServer.setSoTimeout(TIMEOUT_MILLISECONDS);
        mServer.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    InetSocketAddress address() {
        return (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    /** Accepts a connection and reads a request up to the first byte of its body. */
    void takeHead() throws IOException {
        mSocket = mServer.accept();
        mSocket.setSoTimeout(TIMEOUT_MILLISECONDS);
        String headEnd = "\r\n\r\n";
        int matched = 0;
        while (matched < headEnd.length()) {
            int next = mSocket.getInputStream().read();
            if (next < 0) {
                throw new IOException("the connection ended within the head of a request");
            }
            matched = next == headEnd.charAt(matched) ? matched + 1 : 0;
        }
    }

    void send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Ends the answer in order. */
    void endOutput() throws IOException {
        mSocket.shutdownOutput();
    }

    /** Ends the connection with a TCP reset and nothing before it. */
    void reset() throws IOException {
        mSocket.setSoLinger(true, 0);
        mSocket.close();
    }

    /** Closes the socket, which has unread bytes: a reset that may follow an end of the output. */
    void closeUnread() throws IOException {
        mSocket.close();
    }

    /** Reads a part of the body. */
    void read(int bytes) throws IOException {
        InputStream input = mSocket.getInputStream();
        byte[] block = new byte[BLOCK_BYTES];
        for (int left = bytes; left > 0; ) {
            int read = input.read(block, 0, Math.min(left, block.length));
            if (read < 0) {
                throw new IOException(left + " bytes of the body are missing");
            }
            left -= read;
        }
    }

    @Override
    public void close() throws IOException {
        if (mSocket != null) {
            mSocket.close();
        }
        mServer.close();
    }
}
