/** Admission of requests to the node's own target: slots, queues, limits and body memory. */
package org.foxtailmoor.core.admission;
