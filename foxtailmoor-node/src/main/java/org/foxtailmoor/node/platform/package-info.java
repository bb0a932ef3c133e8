/** HTTP clients of the platform's configuration service and instance list. */
package org.foxtailmoor.node.platform;
