/** The instance list: its encoding as a document and lookups by zone and region. */
package org.foxtailmoor.core.membership;
