package org.foxtailmoor.core.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/** Keeps the current document and its predecessors, which serve as bases for deltas. */
final class DocumentHistory {
    /** Maximum number of versions kept; a peer further behind gets the full document. */
    static final int MAX_SIZE = 32;

    private final Deque<Document> mDocuments = new ArrayDeque<>();

    /** Returns the current document, {@link Document#EMPTY} before the first. */
    Document current() {
        return mDocuments.isEmpty() ? Document.EMPTY : mDocuments.getLast();
    }

    /** Returns the document with the given version, if it is still kept. */
    Optional<Document> find(DocumentVersion version) {
        for (Document document : mDocuments) {
            if (document.version().equals(version)) {
                return Optional.of(document);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a version is newer than the current one. */
    boolean isNewer(DocumentVersion version) {
        return DocumentVersions.compare(version, current().version()) > 0;
    }

    /**
     * Adds a document and makes it the current one.
     *
     * @throws IllegalArgumentException if its version is not newer than the current one
     */
    void add(Document document) {
        if (!isNewer(document.version())) {
            throw new IllegalArgumentException(
                    "version "
                            + DocumentVersions.format(document.version())
                            + " is not newer than "
                            + DocumentVersions.format(current().version()));
        }
        mDocuments.addLast(document);
        if (mDocuments.size() > MAX_SIZE) {
            mDocuments.removeFirst();
        }
    }
}
