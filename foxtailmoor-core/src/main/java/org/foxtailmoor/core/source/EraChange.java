package org.foxtailmoor.core.source;

/**
 * Change of a copy to another era of the store.
 *
 * @param from position of the copy before
 * @param to position of the copy in the new era
 * @param kept items that the new era has
 * @param awaited items that the new era lacks, which are kept until their writers have had time to
 *     write them again
 * @param ignored items of the new era that are older than what the copy knows
 */
public record EraChange(StorePosition from, StorePosition to, int kept, int awaited, int ignored) {}
