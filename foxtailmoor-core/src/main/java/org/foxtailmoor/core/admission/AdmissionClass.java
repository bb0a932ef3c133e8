package org.foxtailmoor.core.admission;

import org.foxtailmoor.core.routing.Route;

/**
 * Admission settings of a request class.
 *
 * @param id id of the class entry
 * @param weight relative share of the slots under overload, at least 1
 * @param queueLimit maximum number of queued requests of the class, at least 0
 */
public record AdmissionClass(String id, int weight, int queueLimit) {
    /**
     * Returns the class of a route.
     *
     * @param route route, not null
     */
    public static AdmissionClass of(Route route) {
        return new AdmissionClass(
                route.requestClass().id(),
                Math.max(1, route.requestClass().body().getWeight()),
                route.requestClass().body().getQueueLimit());
    }
}
