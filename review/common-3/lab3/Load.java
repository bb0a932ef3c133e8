package lab3;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Clients that send one request after the other over kept connections. */
public final class Load {
    /** One request of a client, status 0 if its connection ended without an answer. */
    public record Sent(
            String id,
            boolean idempotent,
            long sentNanoseconds,
            long endNanoseconds,
            int status,
            String body,
            String failure) {}

    public final ConcurrentLinkedQueue<Sent> mSent = new ConcurrentLinkedQueue<>();
    private final AtomicLong mNumbers = new AtomicLong();
    private final List<Thread> mThreads = new ArrayList<>();
    private volatile boolean mStopped;

    /** Starts clients on a machine. */
    public void start(
            Node node, int clients, String host, String prefix, boolean idempotent,
            int deadlineMs, int bodyBytes, int pauseMs) {
        for (int i = 0; i < clients; i++) {
            Thread thread =
                    new Thread(
                            () -> run(node, host, prefix, idempotent, deadlineMs, bodyBytes, pauseMs));
            thread.setDaemon(true);
            thread.start();
            mThreads.add(thread);
        }
    }

    public void stop() throws InterruptedException {
        mStopped = true;
        for (Thread thread : mThreads) {
            thread.join(10_000);
        }
    }

    private void run(
            Node node, String host, String prefix, boolean idempotent, int deadlineMs,
            int bodyBytes, int pauseMs) {
        Random random = new Random();
        Client client = new Client(node.mIp, node.mOutbound);
        while (!mStopped) {
            String id = "q" + mNumbers.incrementAndGet();
            byte[] body = new byte[bodyBytes];
            random.nextBytes(body);
            long sent = System.nanoTime();
            try {
                client.start(idempotent ? "GET" : "POST", host, prefix + id, id, deadlineMs, body);
            } catch (IOException e) {
                close(client);
                mSent.add(new Sent(id, idempotent, sent, System.nanoTime(), -1, "", e.toString()));
                pause(20);
                continue;
            }
            try {
                Message answer = client.finish(deadlineMs + 300);
                mSent.add(
                        new Sent(
                                id, idempotent, sent, System.nanoTime(), answer.status(),
                                answer.text(), ""));
            } catch (IOException e) {
                close(client);
                mSent.add(new Sent(id, idempotent, sent, System.nanoTime(), 0, "", e.toString()));
            }
            pause(pauseMs == 0 ? 0 : random.nextInt(2 * pauseMs));
        }
        close(client);
    }

    private static void close(Client client) {
        try {
            client.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private static void pause(int milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Counts of the answers by status. */
    public Map<Integer, Integer> statuses() {
        Map<Integer, Integer> counts = new HashMap<>();
        mSent.forEach(sent -> counts.merge(sent.status(), 1, Integer::sum));
        return counts;
    }

    /** Returns a line for each request that breaks TWICE, REFUSED or MIXED. */
    public List<String> violations(List<Upstream> upstreams) {
        Map<String, Integer> runs = new HashMap<>();
        for (Upstream upstream : upstreams) {
            upstream.mRuns.forEach(run -> runs.merge(run.id(), 1, Integer::sum));
        }
        List<String> found = new ArrayList<>();
        for (Sent sent : mSent) {
            int count = runs.getOrDefault(sent.id(), 0);
            if (!sent.idempotent() && count > 1) {
                found.add("TWICE " + sent);
            }
            boolean refused = sent.status() == 503 || sent.status() == 429;
            if (!sent.idempotent() && refused && count > 0) {
                found.add("REFUSED " + sent);
            }
            if (sent.status() == 200 && !sent.body().startsWith("ran " + sent.id() + " ")) {
                found.add("MIXED " + sent);
            }
        }
        return found;
    }
}
