import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store: /kv-key, /kv-range and /kv-watch. */
final class Store {
    private record Item(String key, byte[] value, long revision, long created) {
        String json() {
            if (value == null) {
                return "{\"key\":\"" + key + "\",\"revision\":" + revision + ",\"deleted\":true}";
            }
            return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"creation_time\":%d,\"lease\":0}"
                    .formatted(key, Base64.getEncoder().encodeToString(value), revision, created);
        }
    }

    private static final int PAGE_ITEMS = 500;

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final List<Item> mEvents = new ArrayList<>();
    private final ServerSocket mServer;
    private long mRevision = 1;

    Store(String ip, int port) throws IOException {
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 128);
        Lab.daemon("store", this::accept);
    }

    /** Writes an item; its return is the acknowledgement. */
    synchronized void put(String key, String value) {
        Item old = mItems.get(key);
        long revision = ++mRevision;
        Item item =
                new Item(
                        key,
                        value.getBytes(StandardCharsets.UTF_8),
                        revision,
                        old == null ? revision : old.created());
        mItems.put(key, item);
        mEvents.add(item);
        notifyAll();
    }

    /** Removes an item; its return is the acknowledgement. */
    synchronized void remove(String key) {
        mItems.remove(key);
        mEvents.add(new Item(key, null, ++mRevision, 0));
        notifyAll();
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = mServer.accept();
            socket.setTcpNoDelay(true);
            Lab.daemon("store-connection", () -> serve(socket));
        }
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            OutputStream output = socket.getOutputStream();
            Http.Head head = Http.readHead(input);
            while (head != null) {
                String target = head.part(1);
                int mark = target.indexOf('?');
                String path = mark < 0 ? target : target.substring(0, mark);
                String body = answer(path, query(mark < 0 ? "" : target.substring(mark + 1)));
                byte[] bytes = (body == null ? "{}" : body).getBytes(StandardCharsets.UTF_8);
                String start = body == null ? "404 Not Found" : "200 OK";
                output.write(
                        ("HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                        .formatted(start, bytes.length))
                                .getBytes(StandardCharsets.ISO_8859_1));
                output.write(bytes);
                output.flush();
                head = Http.readHead(input);
            }
        } catch (IOException e) {
            // A reader closed its connection.
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2) {
                query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private String answer(String path, Map<String, String> query) throws InterruptedException {
        return switch (path) {
            case "/kv-key" -> key(query);
            case "/kv-range" -> range(query);
            case "/kv-watch" -> watch(query);
            default -> null;
        };
    }

    private synchronized String key(Map<String, String> query) {
        Item item = mItems.get(query.getOrDefault("key", ""));
        return item == null ? null : item.json();
    }

    private synchronized String range(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String after = query.getOrDefault("after", "");
        List<String> items = new ArrayList<>();
        boolean more = false;
        for (Item item : mItems.values()) {
            if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
                if (items.size() == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                items.add(item.json());
            }
        }
        return "{\"items\":[%s],\"has_more\":%b,\"current_rev\":%d}"
                .formatted(String.join(",", items), more, mRevision);
    }

    private synchronized String watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<String> events = new ArrayList<>();
            for (Item event : mEvents) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    events.add(event.json());
                }
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                return "{\"events\":[%s],\"current_rev\":%d}"
                        .formatted(String.join(",", events), mRevision);
            }
            wait(left);
        }
    }
}
