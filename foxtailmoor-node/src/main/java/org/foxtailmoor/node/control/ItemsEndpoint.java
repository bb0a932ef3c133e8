package org.foxtailmoor.node.control;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.core.source.StorePosition;
import org.foxtailmoor.node.admin.AdminEndpoint;
import org.foxtailmoor.node.admin.AdminResponse;

/** Serves the items of the store to other nodes, see {@link PeerFeed#read}. */
public final class ItemsEndpoint implements AdminEndpoint {
    /** Path of the endpoint. */
    public static final String PATH = "/items";

    static final String AFTER = "after";
    static final String WAIT_MILLISECONDS = "wait_milliseconds";

    /** Optional: era of the revision after which changes are read, an unsigned number. */
    static final String ERA = "era";

    /** Optional: age of the reader's copy. */
    static final String AGE_MILLISECONDS = "age_milliseconds";

    private static final int STATUS_OK = 200;
    private static final String CONTENT_TYPE = "application/x-protobuf";

    private final PeerFeed mFeed;

    /** Creates an endpoint of a feed, which must not be null. */
    public ItemsEndpoint(PeerFeed feed) {
        mFeed = feed;
    }

    @Override
    public CompletableFuture<AdminResponse> handle(Map<String, List<String>> parameters) {
        StorePosition after;
        Duration age = Duration.ZERO;
        Duration wait;
        try {
            after = position(parameters);
            wait = Duration.ofMillis(number(parameters, WAIT_MILLISECONDS));
            if (parameters.containsKey(AGE_MILLISECONDS)) {
                age = Duration.ofMillis(number(parameters, AGE_MILLISECONDS));
            }
        } catch (FoxtailmoorException e) {
            return CompletableFuture.failedFuture(e);
        }
        return mFeed.read(after, age, wait)
                .thenApply(
                        response ->
                                new AdminResponse(
                                        STATUS_OK, CONTENT_TYPE, response.toByteString(), true));
    }

    private static StorePosition position(Map<String, List<String>> parameters) {
        long revision = number(parameters, AFTER);
        List<String> eras = parameters.getOrDefault(ERA, List.of("0"));
        try {
            return new StorePosition(Long.parseUnsignedLong(eras.get(0)), revision);
        } catch (IllegalArgumentException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.BAD_REQUEST, "no position: " + revision + " of era " + eras, e);
        }
    }

    private static long number(Map<String, List<String>> parameters, String name) {
        List<String> values = parameters.getOrDefault(name, List.of());
        try {
            return Long.parseLong(values.get(0));
        } catch (IndexOutOfBoundsException | NumberFormatException e) {
            throw FoxtailmoorException.of(
                    ErrorKind.BAD_REQUEST, name + " must be a number, but is " + values, e);
        }
    }
}
