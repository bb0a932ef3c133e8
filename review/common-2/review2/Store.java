package review2;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Stand-in for the metadata store of the platform, as PROTOCOL.md describes it. */
final class Store implements AutoCloseable {
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1 << 20;
    private static final long HISTORY_NANOSECONDS = TimeUnit.SECONDS.toNanos(20);

    /** State of an item after a change; the value is null if it was deleted. */
    private record Event(String key, byte[] value, long revision, long nanoseconds) {}

    private final Http.Server mServer;
    private final TreeMap<String, Event> mItems = new TreeMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private long mRevision = 100;
    private long mForgottenRevision = 100;

    Store(String address, int port) throws IOException {
        mServer = new Http.Server(address, port, this::handle);
    }

    synchronized void put(String key, String value) {
        add(new Event(key, value.getBytes(StandardCharsets.UTF_8), ++mRevision, System.nanoTime()));
    }

    synchronized void delete(String key) {
        add(new Event(key, null, ++mRevision, System.nanoTime()));
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }

    private void add(Event event) {
        if (event.value() == null) {
            mItems.remove(event.key());
        } else {
            mItems.put(event.key(), event);
        }
        mHistory.add(event);
        while (event.nanoseconds() - mHistory.get(0).nanoseconds() > HISTORY_NANOSECONDS) {
            mForgottenRevision = mHistory.remove(0).revision();
        }
        notifyAll();
    }

    private boolean handle(Http.Head head, InputStream in, Socket socket) throws IOException {
        Http.readBody(head, in);
        int status = 200;
        String body;
        synchronized (this) {
            switch (head.path()) {
                case "/kv-range" -> body = range(head.query());
                case "/kv-watch" -> {
                    long after = Long.parseLong(head.query().get("after"));
                    awaitEvents(
                            head.query().get("prefix"),
                            after,
                            Long.parseLong(head.query().get("wait_ms")));
                    boolean forgotten = after < mForgottenRevision;
                    status = forgotten ? 410 : 200;
                    body = forgotten ? "{}" : events(head.query().get("prefix"), after);
                }
                default -> {
                    status = 404;
                    body = "{}";
                }
            }
        }
        Http.answer(
                socket.getOutputStream(),
                status,
                Map.of("Content-Type", "application/json"),
                body.getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private void await(long milliseconds) {
        try {
            wait(Math.max(1, milliseconds));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void awaitEvents(String prefix, long after, long waitMs) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        while (after >= mForgottenRevision && !hasEvents(prefix, after)) {
            long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
            if (left <= 0) {
                return;
            }
            await(left);
        }
    }

    private boolean hasEvents(String prefix, long after) {
        for (int i = mHistory.size() - 1; i >= 0 && mHistory.get(i).revision() > after; i--) {
            if (mHistory.get(i).key().startsWith(prefix)) {
                return true;
            }
        }
        return false;
    }

    private String range(Map<String, String> query) {
        StringBuilder items = new StringBuilder();
        int count = 0;
        boolean more = false;
        String after = query.getOrDefault("after", "");
        for (Event item : mItems.tailMap(after, false).values()) {
            if (!item.key().startsWith(query.get("prefix"))) {
                continue;
            }
            if (count == PAGE_ITEMS || count > 0 && items.length() > PAGE_BYTES) {
                more = true;
                break;
            }
            items.append(count == 0 ? "" : ",").append(json(item));
            count++;
        }
        return "{\"items\":[%s],\"has_more\":%s,\"current_rev\":%d}"
                .formatted(items, more, mRevision);
    }

    private String events(String prefix, long after) {
        StringBuilder events = new StringBuilder();
        for (Event event : mHistory) {
            if (event.revision() > after && event.key().startsWith(prefix)) {
                events.append(events.length() == 0 ? "" : ",").append(json(event));
            }
        }
        return "{\"events\":[%s],\"current_rev\":%d}".formatted(events, mRevision);
    }

    private static String json(Event event) {
        if (event.value() == null) {
            return "{\"key\":\"%s\",\"revision\":%d,\"deleted\":true}"
                    .formatted(event.key(), event.revision());
        }
        return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"creation_time\":%d,\"lease\":0}"
                .formatted(
                        event.key(),
                        Base64.getEncoder().encodeToString(event.value()),
                        event.revision(),
                        event.revision());
    }
}
