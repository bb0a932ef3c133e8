package org.foxtailmoor.core.distribution;

import java.util.List;
import java.util.Optional;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.Topic;

/** Receives what the distribution delivers, on the caller's thread. */
public interface DocumentListener {
    /**
     * Checks a whole document before it takes effect.
     *
     * @param topic topic of the document
     * @param document document whose digests agree, not null
     * @return a fault text if the document must be refused, empty if it is valid
     */
    Optional<String> check(Topic topic, Document document);

    /**
     * Takes notice that a document is in force from now on. Versions of one topic only rise.
     *
     * @param topic topic of the document
     * @param document document, not null
     * @param from instance id of the sender, or {@link DistributionEngine#FROM_SOURCE}
     */
    void inForce(Topic topic, Document document, String from);

    /**
     * Takes notice of crash counts of the node's own service that other nodes report.
     *
     * @param reports reports that differ from those received before, not empty
     */
    void crashReportsReceived(List<CrashReport> reports);
}
