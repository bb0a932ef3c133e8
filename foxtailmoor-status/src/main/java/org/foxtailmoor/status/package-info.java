/** Command-line program that queries the state of running nodes. */
package org.foxtailmoor.status;
