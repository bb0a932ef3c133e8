/** Decodes HTTP/1.1 responses for every client of the product. */
package org.foxtailmoor.http;
