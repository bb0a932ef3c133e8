package org.foxtailmoor.core.source;

import com.google.protobuf.ByteString;
import java.util.Objects;

/**
 * One revision of a value in the configuration service.
 *
 * @param revision revision of the value, unsigned; increases with each publication
 * @param content bytes of the value, at most 1 MB
 */
public record SourceValue(long revision, ByteString content) {
    /** Checks that the content is not null. */
    public SourceValue {
        Objects.requireNonNull(content, "content");
    }
}
