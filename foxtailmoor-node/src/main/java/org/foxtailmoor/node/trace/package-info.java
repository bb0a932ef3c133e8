/** Records one trace span per hop and propagates the W3C trace context. */
package org.foxtailmoor.node.trace;
