/** Request handling at the home node: idempotency keys, terms, view leases and crash counts. */
package org.foxtailmoor.core.home;
