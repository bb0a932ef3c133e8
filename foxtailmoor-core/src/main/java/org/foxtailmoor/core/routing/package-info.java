/** Request routing at the entry node: routes, load balancing, retries and idempotency keys. */
package org.foxtailmoor.core.routing;
