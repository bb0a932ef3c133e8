package lab3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store with its read calls, as PROTOCOL.md describes them. */
public final class Store {
    private record Item(String value, long revision, long creation) {}

    private record Event(String key, String value, long revision, long creation) {}

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Event> mEvents = new ArrayList<>();
    private final HttpServer mServer;
    private long mRevision = 7;

    public Store(String host) throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(host, 0), 256);
        mServer.setExecutor(Executors.newCachedThreadPool(Threads.DAEMONS));
        mServer.createContext("/kv-range", exchange -> answer(exchange, range(query(exchange))));
        mServer.createContext("/kv-key", exchange -> answer(exchange, key(query(exchange))));
        mServer.createContext("/kv-watch", exchange -> answer(exchange, watch(query(exchange))));
        mServer.start();
    }

    public int port() {
        return mServer.getAddress().getPort();
    }

    /** Writes an item; the return is the acknowledgement. */
    public synchronized void put(String key, String value) {
        mRevision++;
        Item before = mItems.get(key);
        long creation = before == null ? mRevision : before.creation();
        mItems.put(key, new Item(encode(value), mRevision, creation));
        mEvents.add(new Event(key, encode(value), mRevision, creation));
        notifyAll();
    }

    /** Removes an item. */
    public synchronized void remove(String key) {
        if (mItems.remove(key) != null) {
            mRevision++;
            mEvents.add(new Event(key, null, mRevision, 0));
            notifyAll();
        }
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        StringBuilder items = new StringBuilder();
        mItems.forEach(
                (key, item) -> {
                    if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                        append(items, itemText(key, item.value(), item.revision(), item.creation()));
                    }
                });
        return "{\"items\":[" + items + "],\"has_more\":false,\"current_rev\":" + mRevision + "}";
    }

    private synchronized String key(Map<String, String> query) {
        Item item = mItems.get(query.get("key"));
        return item == null
                ? null
                : itemText(query.get("key"), item.value(), item.revision(), item.creation());
    }

    private synchronized String watch(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        long end =
                System.nanoTime()
                        + 1_000_000L * Long.parseLong(query.getOrDefault("wait_ms", "0"));
        StringBuilder events = new StringBuilder();
        while (true) {
            for (Event event : mEvents) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    append(
                            events,
                            event.value() == null
                                    ? "{\"key\":\""
                                            + event.key()
                                            + "\",\"revision\":"
                                            + event.revision()
                                            + ",\"deleted\":true}"
                                    : itemText(
                                            event.key(),
                                            event.value(),
                                            event.revision(),
                                            event.creation()));
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (events.length() > 0 || left <= 0) {
                return "{\"events\":[" + events + "],\"current_rev\":" + mRevision + "}";
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private static void append(StringBuilder list, String element) {
        list.append(list.length() == 0 ? "" : ",").append(element);
    }

    private static String itemText(String key, String value, long revision, long creation) {
        return "{\"key\":\""
                + key
                + "\",\"value\":\""
                + value
                + "\",\"revision\":"
                + revision
                + ",\"creation_time\":"
                + creation
                + ",\"lease\":0}";
    }

    private static String encode(String value) {
        return Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String text = exchange.getRequestURI().getRawQuery();
        for (String part : text == null ? new String[0] : text.split("&")) {
            String[] pair = part.split("=", 2);
            query.put(
                    pair[0],
                    URLDecoder.decode(pair.length < 2 ? "" : pair[1], StandardCharsets.UTF_8));
        }
        return query;
    }

    private static void answer(HttpExchange exchange, String text) throws IOException {
        byte[] body = (text == null ? "{}" : text).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(text == null ? 404 : 200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }
}
