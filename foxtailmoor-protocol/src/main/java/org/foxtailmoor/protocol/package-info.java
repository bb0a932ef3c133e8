/** Versioned documents that nodes exchange, with their digests. */
package org.foxtailmoor.protocol;
