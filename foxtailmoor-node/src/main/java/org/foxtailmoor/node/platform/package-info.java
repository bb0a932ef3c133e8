/** Client of the platform: configuration service and instance list over HTTP. */
package org.foxtailmoor.node.platform;
