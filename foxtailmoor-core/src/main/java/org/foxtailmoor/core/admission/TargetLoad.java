package org.foxtailmoor.core.admission;

/**
 * Load that a target states with a response. It is a hint: it may be outdated or wrong.
 *
 * @param running requests that the target runs
 * @param waiting requests that wait in the target's own queue
 * @param slots requests that the target can run at once
 * @param workTimePercent time that work takes at the target now, 100 as usual, 0 if not stated
 */
public record TargetLoad(int running, int waiting, int slots, int workTimePercent) {
    private static final int MAX_VALUE = 1_000_000;
    private static final int MIN_FIELDS = 3;
    private static final int MAX_FIELDS = 4;

    /**
     * Parses the comma-separated form {@code running,waiting,slots[,workTimePercent]}.
     *
     * @param text text, may be null
     * @return the load, or null if the text is not valid
     */
    public static TargetLoad parse(String text) {
        String[] fields = text == null ? new String[0] : text.split(",", -1);
        if (fields.length < MIN_FIELDS || fields.length > MAX_FIELDS) {
            return null;
        }
        int[] values = new int[MAX_FIELDS];
        for (int i = 0; i < fields.length; i++) {
            try {
                values[i] = Integer.parseInt(fields[i].trim());
            } catch (NumberFormatException e) {
                return null;
            }
            if (values[i] < 0 || values[i] > MAX_VALUE) {
                return null;
            }
        }
        return new TargetLoad(values[0], values[1], values[2], values[3]);
    }
}
