/** Admin port: health, readiness, status and routing explanations as JSON, and metrics as text. */
package org.foxtailmoor.node.admin;
