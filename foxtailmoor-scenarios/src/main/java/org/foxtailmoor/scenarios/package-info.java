/** Scripted scenarios and history checks. */
package org.foxtailmoor.scenarios;
