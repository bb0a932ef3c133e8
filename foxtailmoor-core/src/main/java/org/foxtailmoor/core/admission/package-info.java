/** Admission control for the node's own target: slots, queues, limits and body memory. */
package org.foxtailmoor.core.admission;
