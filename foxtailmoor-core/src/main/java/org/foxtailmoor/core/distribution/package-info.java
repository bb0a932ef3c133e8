/** Distribution of versioned documents between nodes: decisions without input or output. */
package org.foxtailmoor.core.distribution;
