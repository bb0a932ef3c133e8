package org.foxtailmoor.status;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;

/** Formats the answers of nodes as a table or as JSON. */
public final class StatusFormatter {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ABSENT = "-";
    private static final List<String> HEADINGS =
            List.of(
                    "NODE",
                    "INSTANCE",
                    "SERVICE",
                    "ZONE",
                    "STATE",
                    "CATALOGUE",
                    "IN FORCE",
                    "FROM",
                    "BEHIND",
                    "SOURCE AGE",
                    "INSTANCE LIST",
                    "PEERS",
                    "CONTROL SENT/RECEIVED/ACROSS");

    private StatusFormatter() {}

    /**
     * Returns a table with one line per node, followed by refused versions, conflicts, leaving
     * upstreams, failed queries and whether the versions agree.
     */
    public static String toTable(FleetStatus fleet) {
        List<List<String>> rows = new ArrayList<>();
        rows.add(HEADINGS);
        List<String> notes = new ArrayList<>();
        long newest = newestNumber(fleet);
        for (NodeAnswer answer : fleet.answers()) {
            if (answer.isPresent()) {
                NodeStatus status = answer.status();
                rows.add(row(answer.address(), status, newest));
                addNotes(notes, status);
            } else {
                rows.add(List.of(answer.address().toString(), "no answer"));
                notes.add(answer.error());
            }
        }
        notes.add("catalogue: " + summary(fleet.catalogueVersions()));
        notes.add("instance list: " + summary(fleet.instanceListVersions()));
        if (!fleet.isAgreed()) {
            notes.add("versions differ for " + seconds(fleet.elapsedMilliseconds()));
        }
        return align(rows) + "\n" + String.join("\n", notes) + "\n";
    }

    /**
     * Returns JSON with {@code agreed}, {@code complete}, {@code elapsed_milliseconds} and {@code
     * nodes}; each node has its {@code address} and either {@code status}, unchanged from the
     * node's answer, or {@code error}.
     */
    public static String toJson(FleetStatus fleet) {
        ObjectNode root = JSON.createObjectNode();
        root.put("agreed", fleet.isAgreed());
        root.put("complete", fleet.isComplete());
        root.put("elapsed_milliseconds", fleet.elapsedMilliseconds());
        ArrayNode nodes = root.putArray("nodes");
        for (NodeAnswer answer : fleet.answers()) {
            ObjectNode node = nodes.addObject().put("address", answer.address().toString());
            if (answer.isPresent()) {
                node.set("status", answer.json());
            } else {
                node.put("error", answer.error());
            }
        }
        return indent(root);
    }

    /** Returns JSON with line breaks, or the text unchanged if it is not JSON. */
    public static String indent(String text) {
        try {
            return indent(JSON.readTree(text));
        } catch (JsonProcessingException e) {
            return text;
        }
    }

    private static String indent(JsonNode json) {
        try {
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json) + "\n";
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    private static long newestNumber(FleetStatus fleet) {
        long newest = 0;
        for (NodeAnswer answer : fleet.answers()) {
            if (answer.isPresent()) {
                newest = Math.max(newest, answer.status().catalogue().number());
            }
        }
        return newest;
    }

    private static List<String> row(NodeAddress address, NodeStatus status, long newest) {
        TopicStatus catalogue = status.catalogue();
        NodeStatus.ControlBytes bytes = status.controlBytes();
        return List.of(
                address.toString(),
                orAbsent(status.instance()),
                orAbsent(status.service()),
                orAbsent(status.zone()),
                state(status),
                orAbsent(catalogue.version()),
                catalogue.number() == 0 ? ABSENT : seconds(catalogue.inForceMilliseconds()),
                orAbsent(catalogue.from()),
                Long.toString(newest - catalogue.number()),
                seconds(catalogue.sourceAgeMilliseconds()),
                orAbsent(status.instances().version()),
                peers(status),
                bytes.sent() + "/" + bytes.received() + "/" + bytes.sentAcrossRegions());
    }

    private static String state(NodeStatus status) {
        if (status.leaving()) {
            return "leaving";
        }
        return status.ready() ? "ready" : "starting";
    }

    private static String peers(NodeStatus status) {
        String own = status.catalogue().version();
        long differing =
                status.peerCatalogueVersions().stream()
                        .filter(version -> !version.equals(own))
                        .count();
        String count = Integer.toString(status.peerCatalogueVersions().size());
        return differing == 0 ? count : count + " (" + differing + " differing)";
    }

    private static void addNotes(List<String> notes, NodeStatus status) {
        addTopicNotes(notes, status.instance() + ": catalogue", status.catalogue());
        addTopicNotes(notes, status.instance() + ": instance list", status.instances());
        if (!status.leavingUpstreams().isEmpty()) {
            notes.add(
                    status.instance()
                            + ": leaving upstreams: "
                            + String.join(", ", status.leavingUpstreams()));
        }
    }

    private static void addTopicNotes(List<String> notes, String prefix, TopicStatus topic) {
        if (topic.conflict()) {
            notes.add(prefix + ": two publications have the same number");
        }
        for (TopicStatus.Refused refused : topic.refused()) {
            notes.add(
                    prefix
                            + ": refused "
                            + refused.version()
                            + " from "
                            + orAbsent(refused.from())
                            + ": "
                            + refused.reason());
        }
    }

    private static String summary(SortedMap<String, Integer> versions) {
        List<String> texts = new ArrayList<>();
        versions.forEach(
                (version, count) ->
                        texts.add(
                                (version.isEmpty() ? "no version" : version)
                                        + " at "
                                        + count
                                        + (count == 1 ? " node" : " nodes")));
        return texts.isEmpty() ? "no node answered" : String.join(", ", texts);
    }

    private static String seconds(long milliseconds) {
        if (milliseconds < 0) {
            return ABSENT;
        }
        return milliseconds / 1000 + "." + milliseconds % 1000 / 100 + " s";
    }

    private static String orAbsent(String text) {
        return text.isEmpty() ? ABSENT : text;
    }

    private static String align(List<List<String>> rows) {
        int[] widths = new int[HEADINGS.size()];
        for (List<String> row : rows) {
            for (int column = 0; column < row.size(); column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                line.append(cell).append(" ".repeat(widths[column] - cell.length() + 2));
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
