package org.foxtailmoor.node.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.protocol.Document;

/**
 * Reads one topic's whole document from the platform. Futures fail with a {@link
 * org.foxtailmoor.base.FoxtailmoorException}.
 */
interface DocumentReader {
    /**
     * Reads the document as the platform has it now.
     *
     * @param known document at this node, whose parts need not be read again
     * @return the document, or empty if the platform has none
     */
    CompletableFuture<Optional<Document>> read(Document known);

    /**
     * Waits for a document newer than the last one that this reader returned.
     *
     * @param known document at this node, whose parts need not be read again
     * @param timeout longest wait
     * @return the document, or empty if there was no newer one
     */
    CompletableFuture<Optional<Document>> watch(Document known, Duration timeout);
}
