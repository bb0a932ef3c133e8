package org.foxtailmoor.node.data;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import org.foxtailmoor.protocol.generated.RequestMessage;

/** Node whose reaction to each frame on its node port is defined by the test. */
final class FakeNode implements AutoCloseable {
    /** A link opened by an entry node. */
    record FakeLink(int number, Socket socket, CompletableFuture<Void> closedByPeer) {
        void send(RequestMessage message) {
            try {
                message.writeDelimitedTo(socket.getOutputStream());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private final ServerSocket mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<FakeLink> mLinks = new LinkedBlockingQueue<>();
    private final AtomicInteger mRequests = new AtomicInteger();
    private final BiConsumer<FakeLink, RequestMessage> mOnFrame;

    FakeNode(BiConsumer<FakeLink, RequestMessage> onFrame) throws IOException {
        mOnFrame = onFrame;
        start(this::accept);
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Returns the number of request start frames received. */
    int requests() {
        return mRequests.get();
    }

    FakeLink takeLink() throws InterruptedException {
        FakeLink link = mLinks.poll(10, TimeUnit.SECONDS);
        if (link == null) {
            throw new AssertionError("no link was opened");
        }
        return link;
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private void accept() {
        try {
            for (int number = 1; true; number++) {
                FakeLink link = new FakeLink(number, mServer.accept(), new CompletableFuture<>());
                mLinks.add(link);
                start(() -> serve(link));
            }
        } catch (IOException e) {
            // Thrown when the test closes the node.
            return;
        }
    }

    private void serve(FakeLink link) {
        try {
            InputStream input = link.socket().getInputStream();
            RequestMessage message = RequestMessage.parseDelimitedFrom(input);
            while (message != null) {
                if (message.hasRequestStart()) {
                    mRequests.incrementAndGet();
                }
                mOnFrame.accept(link, message);
                message = RequestMessage.parseDelimitedFrom(input);
            }
        } catch (IOException | IllegalStateException e) {
            // Treated like an orderly close.
        }
        link.closedByPeer().complete(null);
    }

    private static void start(Runnable runnable) {
        Thread thread = new Thread(runnable, "fake-node");
        thread.setDaemon(true);
        thread.start();
    }
}
