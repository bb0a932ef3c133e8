/** Control plane: control port, peer connections, and readers of the platform and the store. */
package org.foxtailmoor.node.control;
