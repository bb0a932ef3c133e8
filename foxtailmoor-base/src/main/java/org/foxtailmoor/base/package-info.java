/** Error kinds, validated settings, logging and small utilities shared by all programs. */
package org.foxtailmoor.base;
