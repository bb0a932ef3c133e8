/** Instance list: encoding as a document, lookups by zone and region, quorum of a view. */
package org.foxtailmoor.core.membership;
