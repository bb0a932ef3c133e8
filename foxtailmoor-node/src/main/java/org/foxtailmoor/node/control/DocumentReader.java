package org.foxtailmoor.node.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.protocol.Document;

/**
 * Reads the complete document of one topic from the platform. The returned futures fail with a
 * {@link org.foxtailmoor.base.FoxtailmoorException}.
 */
interface DocumentReader {
    /**
     * Reads the current document from the platform.
     *
     * @param known document that this node already has; its parts are not read again
     * @return the document, or empty if the platform has none
     */
    CompletableFuture<Optional<Document>> read(Document known);

    /**
     * Waits for a document newer than the last one that this reader returned.
     *
     * @param known document that this node already has; its parts are not read again
     * @param timeout maximum wait
     * @return the document, or empty if there was no newer one within the timeout
     */
    CompletableFuture<Optional<Document>> watch(Document known, Duration timeout);
}
