/** Measures a fleet of node processes on loopback; one class for each measure. */
package org.foxtailmoor.standins.measure;
