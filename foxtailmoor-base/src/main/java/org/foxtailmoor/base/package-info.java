/** Clock, error kinds, checked settings, logging and small utilities shared by all programs. */
package org.foxtailmoor.base;
