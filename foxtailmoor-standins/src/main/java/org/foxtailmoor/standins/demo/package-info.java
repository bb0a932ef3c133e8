/** Demonstration of the whole path with both users' deployments. */
package org.foxtailmoor.standins.demo;
