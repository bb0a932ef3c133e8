package org.foxtailmoor.node.platform;

import com.google.protobuf.ByteString;

/**
 * A whole answer of the platform.
 *
 * @param status HTTP status
 * @param revision value of the Revision header, 0 if absent
 * @param body bytes of the body
 */
record PlatformResponse(int status, long revision, ByteString body) {}
