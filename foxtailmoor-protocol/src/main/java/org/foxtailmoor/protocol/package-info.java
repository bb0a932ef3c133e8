/** Codec helpers for the messages that nodes exchange. */
package org.foxtailmoor.protocol;
