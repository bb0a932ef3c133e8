package org.foxtailmoor.core.distribution;

import java.util.List;
import java.util.Optional;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.Topic;

/** Receives documents and crash reports from the engine, on the thread that calls the engine. */
public interface DocumentListener {
    /**
     * Validates a complete document before it becomes current.
     *
     * @param topic topic of the document
     * @param document document whose digests have been verified, not null
     * @return a description of the fault if the document must be refused, empty if it is valid
     */
    Optional<String> check(Topic topic, Document document);

    /**
     * Called when a document has become current. Versions of a topic only increase.
     *
     * @param topic topic of the document
     * @param document document, not null
     * @param from instance id of the sender, or {@link DistributionEngine#FROM_SOURCE}
     */
    void documentApplied(Topic topic, Document document, String from);

    /**
     * Called when other nodes report crash counts of the node's own service.
     *
     * @param reports reports that are new or have changed, not empty
     */
    void crashReportsReceived(List<CrashReport> reports);
}
