/** Stand-in for the platform: the configuration service and the instance list, with faults. */
package org.foxtailmoor.standins.platform;
