/** The node process: network input and output around the decision logic of the core module. */
package org.foxtailmoor.node;
