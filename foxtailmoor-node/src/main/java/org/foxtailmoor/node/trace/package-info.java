/** Records a trace span per hop and passes the W3C trace context on. */
package org.foxtailmoor.node.trace;
