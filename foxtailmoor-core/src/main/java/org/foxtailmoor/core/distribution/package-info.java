/**
 * Distribution of versioned documents between nodes. The classes make decisions and perform no I/O.
 */
package org.foxtailmoor.core.distribution;
