/** Stand-in for target programs: slots, service times, faults and a record of executions. */
package org.foxtailmoor.standins.target;
