/** Interfaces to the platform: the configuration service and the instance list. */
package org.foxtailmoor.core.source;
