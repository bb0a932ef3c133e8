/** Decision logic of a node, free of I/O: callers pass in messages and the current time. */
package org.foxtailmoor.core;
