package org.foxtailmoor.node.control;

/**
 * Bytes of the control connections since the start of the process, without TCP's own headers.
 *
 * @param sent bytes sent
 * @param received bytes received
 * @param sentAcrossRegions part of the bytes sent that went to other regions
 */
public record ControlBytes(long sent, long received, long sentAcrossRegions) {}
