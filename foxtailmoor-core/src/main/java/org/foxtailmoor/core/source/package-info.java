/** Interfaces to the platform's configuration service, instance list and metadata store. */
package org.foxtailmoor.core.source;
