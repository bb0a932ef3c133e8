/**
 * Moves requests: from callers over links to the home node's target, and whole answers back. All
 * classes here belong to the data loop unless they say otherwise.
 */
package org.foxtailmoor.node.data;
