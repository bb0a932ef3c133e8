/** State that the home keeps for its requests: idempotency keys, terms, leases and crashes. */
package org.foxtailmoor.core.home;
