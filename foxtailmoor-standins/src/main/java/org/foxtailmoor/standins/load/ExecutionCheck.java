package org.foxtailmoor.standins.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Compares what callers were told with what the targets recorded.
 *
 * @param executions executions that the targets recorded
 * @param doubled requests that ran more than once
 * @param lost requests with a right answer and no execution
 * @param falselyNotRun requests that were stated not to have run, and did
 * @param dropped executions that the targets could not record; above 0 the others are unsure
 */
public record ExecutionCheck(
        long executions, long doubled, long lost, long falselyNotRun, long dropped) {
    /**
     * Compares results with records.
     *
     * @param results results of a run
     * @param records answers of the targets' {@code /control/executions}
     */
    public static ExecutionCheck of(List<KindResult> results, List<JsonNode> records) {
        Map<String, Integer> runs = new HashMap<>();
        long executions = 0;
        long dropped = 0;
        for (JsonNode record : records) {
            dropped += record.get("dropped").asLong();
            for (JsonNode execution : record.get("executions")) {
                executions++;
                runs.merge(execution.get("request").asText(), 1, Integer::sum);
            }
        }
        long doubled = runs.values().stream().filter(count -> count > 1).count();
        long lost = 0;
        long falselyNotRun = 0;
        for (KindResult result : results) {
            Set<String> right = result.rightIds();
            lost += right.stream().filter(id -> !runs.containsKey(id)).count();
            falselyNotRun += result.notRunIds().stream().filter(runs::containsKey).count();
        }
        return new ExecutionCheck(executions, doubled, lost, falselyNotRun, dropped);
    }

    /** Returns whether nothing ran twice, got lost or was refused falsely. */
    public boolean isClean() {
        return doubled + lost + falselyNotRun + dropped == 0;
    }

    /** Returns the counts as a JSON object. */
    public ObjectNode toJson() {
        return JsonNodeFactory.instance
                .objectNode()
                .put("executions", executions)
                .put("doubled", doubled)
                .put("lost", lost)
                .put("falsely_not_run", falselyNotRun)
                .put("dropped", dropped);
    }
}
