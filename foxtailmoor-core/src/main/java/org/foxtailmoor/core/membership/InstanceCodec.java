package org.foxtailmoor.core.membership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.InstancePart;

/**
 * Encodes the instance list as a document with one part per zone, and decodes and validates it.
 *
 * <pre>{@code
 * Document document = InstanceCodec.encode(revision, instances);
 * List<Instance> sorted = InstanceCodec.decode(document);
 * }</pre>
 */
public final class InstanceCodec {
    /** Prefix of each part name, followed by the zone. */
    public static final String PART_PREFIX = "zone/";

    private static final int MAX_PORT = 65_535;

    private InstanceCodec() {}

    /**
     * Returns the document that lists instances. The result does not depend on their order.
     *
     * @param revision revision of the instance list, as unsigned
     * @param instances instances with unique ids, not null
     */
    public static Document encode(long revision, Collection<Instance> instances) {
        List<Instance> sorted = new ArrayList<>(instances);
        sorted.sort(Comparator.comparing(Instance::getId));
        SortedMap<String, InstancePart.Builder> parts = new TreeMap<>();
        for (Instance instance : sorted) {
            parts.computeIfAbsent(
                            PART_PREFIX + instance.getZone(), name -> InstancePart.newBuilder())
                    .addInstances(instance);
        }
        SortedMap<String, ByteString> contents = new TreeMap<>();
        parts.forEach((name, part) -> contents.put(name, part.build().toByteString()));
        return Document.of(revision, contents);
    }

    /**
     * Returns the instances of a document, sorted by id.
     *
     * @param document document that passed {@link #check}
     * @throws IllegalArgumentException if a part cannot be parsed
     */
    public static List<Instance> decode(Document document) {
        List<Instance> instances = new ArrayList<>();
        for (Map.Entry<String, ByteString> part : document.contents().entrySet()) {
            try {
                instances.addAll(InstancePart.parseFrom(part.getValue()).getInstancesList());
            } catch (InvalidProtocolBufferException e) {
                throw new IllegalArgumentException("part " + part.getKey() + " is unreadable", e);
            }
        }
        instances.sort(Comparator.comparing(Instance::getId));
        return List.copyOf(instances);
    }

    /**
     * Checks that a document is a valid instance list.
     *
     * @return description of the first fault, or empty if the document is valid
     */
    public static Optional<String> check(Document document) {
        Set<String> ids = new HashSet<>();
        for (Map.Entry<String, ByteString> part : document.contents().entrySet()) {
            Optional<String> fault = checkPart(part.getKey(), part.getValue(), ids);
            if (fault.isPresent()) {
                return fault;
            }
        }
        return Optional.empty();
    }

    private static Optional<String> checkPart(String name, ByteString content, Set<String> ids) {
        InstancePart part;
        try {
            part = InstancePart.parseFrom(content);
        } catch (InvalidProtocolBufferException e) {
            return Optional.of("part " + name + " is unreadable: " + e.getMessage());
        }
        for (Instance instance : part.getInstancesList()) {
            if (!name.equals(PART_PREFIX + instance.getZone())) {
                return Optional.of(
                        "instance " + instance.getId() + " does not belong to part " + name);
            }
            if (instance.getId().isEmpty() || !ids.add(instance.getId())) {
                return Optional.of("empty or duplicate instance id '" + instance.getId() + "'");
            }
            if (instance.getControlPort() < 1 || instance.getControlPort() > MAX_PORT) {
                return Optional.of(
                        "instance "
                                + instance.getId()
                                + " has control port "
                                + instance.getControlPort()
                                + ", which is not between 1 and "
                                + MAX_PORT);
            }
        }
        return Optional.empty();
    }
}
