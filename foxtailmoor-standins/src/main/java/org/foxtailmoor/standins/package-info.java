/** Stand-ins for systems outside foxtailmoor, and tools that load and measure it. */
package org.foxtailmoor.standins;
