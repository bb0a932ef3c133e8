package org.foxtailmoor.status;

import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.foxtailmoor.base.ErrorKind;
import org.foxtailmoor.base.Program;

/**
 * Answers of several nodes.
 *
 * @param answers one answer per node, in the order of the addresses
 * @param elapsedMilliseconds time from the first query to the last answer
 */
public record FleetStatus(List<NodeAnswer> answers, long elapsedMilliseconds) {
    /** Copies the list. */
    public FleetStatus {
        answers = List.copyOf(answers);
    }

    /** Returns how many responding nodes have each version of the catalogue. */
    public SortedMap<String, Integer> catalogueVersions() {
        return count(NodeStatus::catalogue);
    }

    /** Returns how many responding nodes have each version of the instance list. */
    public SortedMap<String, Integer> instanceListVersions() {
        return count(NodeStatus::instances);
    }

    /** Returns whether all responding nodes have the same versions. */
    public boolean isAgreed() {
        return catalogueVersions().size() <= 1 && instanceListVersions().size() <= 1;
    }

    /** Returns whether every node answered. */
    public boolean isComplete() {
        return answers.stream().allMatch(NodeAnswer::isPresent);
    }

    /**
     * Returns the exit code of the program: DISAGREEMENT if versions differ, otherwise
     * PLATFORM_UNAVAILABLE if a node did not answer, otherwise 0.
     */
    public int exitCode() {
        if (!isAgreed()) {
            return ErrorKind.DISAGREEMENT.exitCode();
        }
        if (!isComplete()) {
            return ErrorKind.PLATFORM_UNAVAILABLE.exitCode();
        }
        return Program.EXIT_CODE_SUCCESS;
    }

    private SortedMap<String, Integer> count(Function<NodeStatus, TopicStatus> topic) {
        SortedMap<String, Integer> counts = new TreeMap<>();
        for (NodeAnswer answer : answers) {
            if (answer.isPresent()) {
                counts.merge(topic.apply(answer.status()).version(), 1, Integer::sum);
            }
        }
        return counts;
    }
}
