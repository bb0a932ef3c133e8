/** Decisions of a node, without input or output. */
package org.foxtailmoor.core;
