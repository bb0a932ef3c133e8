/** Stand-ins for outside systems, used by demonstrations and tests. */
package org.foxtailmoor.standins;
