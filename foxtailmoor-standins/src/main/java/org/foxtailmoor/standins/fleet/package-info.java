/** Starts platforms, targets and nodes as processes on loopback, for demonstration and measures. */
package org.foxtailmoor.standins.fleet;
