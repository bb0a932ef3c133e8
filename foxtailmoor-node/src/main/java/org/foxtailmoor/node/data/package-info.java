/**
 * Request path of a node: forwards requests from callers over links to the target of the home node,
 * and returns complete answers. Unless stated otherwise, classes are confined to the data loop and
 * are not thread-safe.
 */
package org.foxtailmoor.node.data;
