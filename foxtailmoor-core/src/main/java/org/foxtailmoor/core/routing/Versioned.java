package org.foxtailmoor.core.routing;

/**
 * Value with versions, which may be only partially ordered.
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
