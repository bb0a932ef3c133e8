/** Catalogue model: entries, checks and published parts. */
package org.foxtailmoor.catalogue;
