package org.foxtailmoor.core.admission;

import org.foxtailmoor.core.routing.Route;

/**
 * Class of a request, as far as admission needs it.
 *
 * @param id id of the class entry
 * @param weight share of the slots under overload, relative to other classes; at least 1
 * @param queueLimit requests of the class that may wait, at least 0
 */
public record AdmissionClass(String id, int weight, int queueLimit) {
    /** Returns the class of a route, which must not be null. */
    public static AdmissionClass of(Route route) {
        return new AdmissionClass(
                route.requestClass().id(),
                Math.max(1, route.requestClass().body().getWeight()),
                route.requestClass().body().getQueueLimit());
    }
}
