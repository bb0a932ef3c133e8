/** The node process: Netty channels around the decisions of the core. */
package org.foxtailmoor.node;
