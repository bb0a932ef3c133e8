/** Netty handlers shared by the control connections and the links between nodes. */
package org.foxtailmoor.node.codec;
