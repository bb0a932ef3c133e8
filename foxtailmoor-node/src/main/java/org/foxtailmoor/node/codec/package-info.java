/** Handlers shared by the connections between nodes. */
package org.foxtailmoor.node.codec;
