package org.foxtailmoor.core.distribution;

import com.google.protobuf.ByteString;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.PartContent;
import org.foxtailmoor.protocol.generated.Topic;
import org.foxtailmoor.protocol.generated.Update;

/** Writes updates and puts documents together from them. */
final class Updates {
    private Updates() {}

    /**
     * Result of putting a document together.
     *
     * @param document whole document, null unless the update was complete
     * @param fault reason why there is no document, empty if there is one
     * @param baseMissing whether the update builds on a version that the receiver does not have
     */
    record Assembly(Document document, String fault, boolean baseMissing) {
        static Assembly fault(String text) {
            return new Assembly(null, text, false);
        }
    }

    /**
     * Returns the update from a base to a document. With {@link Document#EMPTY} as base it holds
     * the whole document.
     */
    static Update write(Topic topic, Document base, Document target) {
        Update.Builder update = Update.newBuilder().setTopic(topic).setVersion(target.version());
        if (base != Document.EMPTY) {
            update.setBase(base.version());
        }
        for (Map.Entry<String, ByteString> part : target.contents().entrySet()) {
            if (!part.getValue().equals(base.contents().get(part.getKey()))) {
                update.addChanged(
                        PartContent.newBuilder()
                                .setReference(Document.referenceOf(part.getKey(), part.getValue()))
                                .setContent(part.getValue()));
            }
        }
        for (String name : base.contents().keySet()) {
            if (!target.contents().containsKey(name)) {
                update.addRemoved(name);
            }
        }
        return update.build();
    }

    /** Puts a document together and checks every digest. */
    static Assembly assemble(DocumentHistory history, Update update) {
        Document base = Document.EMPTY;
        if (update.hasBase()) {
            base = history.find(update.getBase()).orElse(null);
            if (base == null) {
                return new Assembly(null, "base is not known", true);
            }
        }
        SortedMap<String, ByteString> contents = new TreeMap<>(base.contents());
        for (PartContent part : update.getChangedList()) {
            String name = part.getReference().getName();
            if (!Document.referenceOf(name, part.getContent()).equals(part.getReference())) {
                return Assembly.fault("content of part " + name + " differs from its digest");
            }
            contents.put(name, part.getContent());
        }
        update.getRemovedList().forEach(contents::remove);
        Document document = Document.of(update.getVersion().getNumber(), contents);
        if (!document.version().equals(update.getVersion())) {
            return Assembly.fault(
                    "parts do not add up to version "
                            + DocumentVersions.format(update.getVersion()));
        }
        return new Assembly(document, "", false);
    }
}
