package org.foxtailmoor.standins.platform;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Holds the last publications of one value, newest last. Not safe for several threads. */
final class RevisionHistory {
    /** Publications kept for the faults that serve old ones. */
    private static final int CAPACITY = 64;

    /** One publication: its revision, content and time in nanoseconds. */
    record Publication(long revision, byte[] content, long publishedNanoseconds) {}

    /**
     * Says which publications a reader may see.
     *
     * @param latestRevision newest revision that is visible
     * @param publishedBefore time in nanoseconds; later publications are not yet visible
     * @param older publications to go back from the newest visible one, at least 0
     */
    record View(long latestRevision, long publishedBefore, int older) {}

    private final Deque<Publication> mPublications = new ArrayDeque<>();

    void add(Publication publication) {
        if (mPublications.size() == CAPACITY) {
            mPublications.removeFirst();
        }
        mPublications.addLast(publication);
    }

    /** Returns the publication that a reader sees, or null if there is none. */
    Publication visible(View view) {
        Iterator<Publication> newestFirst = mPublications.descendingIterator();
        Publication seen = null;
        int steps = view.older();
        while (newestFirst.hasNext() && steps >= 0) {
            Publication publication = newestFirst.next();
            boolean visible =
                    publication.revision() <= view.latestRevision()
                            && publication.publishedNanoseconds() - view.publishedBefore() <= 0;
            if (visible) {
                seen = publication;
                steps--;
            }
        }
        return seen;
    }
}
