/** Open-loop load tool that verifies every answer. */
package org.foxtailmoor.standins.load;
