package org.foxtailmoor.core.routing;

/**
 * Orders the versions of a value.
 *
 * @param <T> type of the value
 */
public interface Versioned<T> {
    /**
     * Returns whether this value may replace another one.
     *
     * @param other value in force, not null
     */
    boolean isNewerThan(T other);
}
