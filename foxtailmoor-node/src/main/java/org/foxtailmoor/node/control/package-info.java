/** Control port and peer connections around the distribution decisions. */
package org.foxtailmoor.node.control;
