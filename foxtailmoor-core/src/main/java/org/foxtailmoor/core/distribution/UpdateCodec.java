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

/** Creates updates from documents and assembles documents from updates. */
final class UpdateCodec {
    private UpdateCodec() {}

    /**
     * Result of assembling a document.
     *
     * @param document assembled document, null if assembly failed
     * @param fault description of the fault, empty on success
     * @param baseMissing whether assembly failed because the receiver lacks the base version of the
     *     update
     */
    record AssemblyResult(Document document, String fault, boolean baseMissing) {
        static AssemblyResult fault(String text) {
            return new AssemblyResult(null, text, false);
        }
    }

    /**
     * Returns the update from a base to a document. With {@link Document#EMPTY} as base it contains
     * the full document.
     */
    static Update diff(Topic topic, Document base, Document target) {
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

    /** Assembles a document and verifies every digest. */
    static AssemblyResult assemble(DocumentHistory history, Update update) {
        Document base = Document.EMPTY;
        if (update.hasBase()) {
            base = history.find(update.getBase()).orElse(null);
            if (base == null) {
                return new AssemblyResult(null, "base version is not available", true);
            }
        }
        SortedMap<String, ByteString> contents = new TreeMap<>(base.contents());
        for (PartContent part : update.getChangedList()) {
            String name = part.getReference().getName();
            if (!Document.referenceOf(name, part.getContent()).equals(part.getReference())) {
                return AssemblyResult.fault(
                        "content of part " + name + " does not match its digest");
            }
            contents.put(name, part.getContent());
        }
        update.getRemovedList().forEach(contents::remove);
        Document document = Document.of(update.getVersion().getNumber(), contents);
        if (!document.version().equals(update.getVersion())) {
            return AssemblyResult.fault(
                    "parts do not match the digest of version "
                            + DocumentVersions.format(update.getVersion()));
        }
        return new AssemblyResult(document, "", false);
    }
}
