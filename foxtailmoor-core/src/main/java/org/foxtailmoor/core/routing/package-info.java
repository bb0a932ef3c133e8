/** Decisions of the entry: routes, upstreams, retries and idempotency keys. */
package org.foxtailmoor.core.routing;
