package org.foxtailmoor.standins.load;

import java.util.Map;

/**
 * One kind of request in a load.
 *
 * @param name name for the results
 * @param weight weight of one good answer in the goodput, above 0
 * @param ratePerSecond arrivals per second, above 0
 * @param method name of the method, in capitals
 * @param path path of the requests
 * @param withKey whether each request carries a new idempotency key
 * @param bodyBytes size of the request body, from 0
 * @param answerBytes size of the answer body, at least 1
 * @param deadlineMilliseconds time after which an answer is of no use, above 0
 */
public record LoadKind(
        String name,
        double weight,
        double ratePerSecond,
        String method,
        String path,
        boolean withKey,
        int bodyBytes,
        int answerBytes,
        int deadlineMilliseconds) {
    private static final Map<String, LoadKind> PRESETS =
            Map.of(
                    "lookup",
                    new LoadKind("lookup", 1, 1, "GET", "/", false, 0, 512, 2_000),
                    "order",
                    new LoadKind("order", 6, 1, "POST", "/", true, 512, 256, 10_000),
                    "upload",
                    new LoadKind("upload", 3, 1, "POST", "/", false, 262_144, 128, 30_000));

    /** Checks the ranges. */
    public LoadKind {
        if (!(weight > 0) || !(ratePerSecond > 0) || deadlineMilliseconds <= 0) {
            throw new IllegalArgumentException(
                    "weight, rate and deadline of " + name + " must be above 0");
        }
    }

    /**
     * Returns the preset with a name, rate and path.
     *
     * @param name lookup, order or upload
     * @param ratePerSecond arrivals per second, above 0
     * @param path path of the requests
     * @throws IllegalArgumentException if there is no such preset
     */
    public static LoadKind of(String name, double ratePerSecond, String path) {
        LoadKind preset = PRESETS.get(name);
        if (preset == null) {
            throw new IllegalArgumentException(name + " is not one of " + PRESETS.keySet());
        }
        return new LoadKind(
                name,
                preset.weight,
                ratePerSecond,
                preset.method,
                path,
                preset.withKey,
                preset.bodyBytes,
                preset.answerBytes,
                preset.deadlineMilliseconds);
    }

    /** Returns the same kind with another size of the request body. */
    public LoadKind withBodyBytes(int bytes) {
        return new LoadKind(
                name,
                weight,
                ratePerSecond,
                method,
                path,
                withKey,
                bytes,
                answerBytes,
                deadlineMilliseconds);
    }

    /** Returns a kind from a text of the form {@code NAME:RATE:PATH}, see {@link #of}. */
    public static LoadKind parse(String text) {
        String[] fields = text.split(":", 3);
        if (fields.length != 3) {
            throw new IllegalArgumentException(text + " does not have the form NAME:RATE:PATH");
        }
        return of(fields[0], Double.parseDouble(fields[1]), fields[2]);
    }

    /** Returns whether the targets record the executions of this kind. */
    public boolean isRecorded() {
        return method.equals("POST");
    }
}
