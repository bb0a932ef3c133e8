package org.foxtailmoor.core.source;

/**
 * Version that the writer of an item states in its value. It outlives the store, which can come
 * back from an older copy.
 *
 * @param start start of the writer's process, in any unit; later starts have larger numbers
 * @param number number of the version since that start
 */
public record WriterVersion(long start, long number) implements Comparable<WriterVersion> {
    @Override
    public int compareTo(WriterVersion other) {
        int byStart = Long.compare(start, other.start);
        return byStart != 0 ? byStart : Long.compare(number, other.number);
    }
}
