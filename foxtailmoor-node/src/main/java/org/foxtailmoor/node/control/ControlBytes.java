package org.foxtailmoor.node.control;

/**
 * Byte counts of the control connections since the start of the process, without TCP headers.
 *
 * @param sent bytes sent
 * @param received bytes received
 * @param sentAcrossRegions bytes sent to peers in other regions, included in {@code sent}
 */
public record ControlBytes(long sent, long received, long sentAcrossRegions) {}
