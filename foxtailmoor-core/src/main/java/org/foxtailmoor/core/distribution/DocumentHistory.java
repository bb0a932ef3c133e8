package org.foxtailmoor.core.distribution;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.DocumentVersion;

/** Keeps the document in force and the ones before it, as bases for deltas. */
final class DocumentHistory {
    /** Largest number of versions kept; a peer further behind gets the whole document. */
    static final int LARGEST_SIZE = 32;

    private final Deque<Document> mDocuments = new ArrayDeque<>();

    /** Returns the document in force, {@link Document#EMPTY} before the first. */
    Document current() {
        return mDocuments.isEmpty() ? Document.EMPTY : mDocuments.getLast();
    }

    /** Returns the document with a version, if it is still kept. */
    Optional<Document> find(DocumentVersion version) {
        for (Document document : mDocuments) {
            if (document.version().equals(version)) {
                return Optional.of(document);
            }
        }
        return Optional.empty();
    }

    /** Returns whether a version is above the one in force. */
    boolean isAbove(DocumentVersion version) {
        return DocumentVersions.compare(version, current().version()) > 0;
    }

    /**
     * Adds a document as the one in force.
     *
     * @throws IllegalArgumentException if its version is not above the one in force
     */
    void add(Document document) {
        if (!isAbove(document.version())) {
            throw new IllegalArgumentException(
                    "version "
                            + DocumentVersions.format(document.version())
                            + " is not above "
                            + DocumentVersions.format(current().version()));
        }
        mDocuments.addLast(document);
        if (mDocuments.size() > LARGEST_SIZE) {
            mDocuments.removeFirst();
        }
    }
}
