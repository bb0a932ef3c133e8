package org.foxtailmoor.core.admission;

/**
 * Run of a request at the target that has ended.
 *
 * @param kind kind of the request
 * @param running requests that ran at the target when this one started, this one included
 * @param serviceNanoseconds time from the start to the end
 * @param failed whether the target failed the request
 * @param waiting requests that wait at the home when this one ends
 */
public record CompletedRun(
        String kind, int running, long serviceNanoseconds, boolean failed, int waiting) {}
