/** Admin port: health, readiness, metrics, status and explanations as JSON. */
package org.foxtailmoor.node.admin;
