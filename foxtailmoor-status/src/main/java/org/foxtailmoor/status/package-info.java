/** Command line that asks running nodes for their state. */
package org.foxtailmoor.status;
