package org.foxtailmoor.node.control;

import java.util.List;
import java.util.Optional;
import org.foxtailmoor.base.FoxtailmoorException;
import org.foxtailmoor.catalogue.CatalogueChecker;
import org.foxtailmoor.catalogue.CatalogueCodec;
import org.foxtailmoor.catalogue.CatalogueFault;
import org.foxtailmoor.catalogue.CatalogueSnapshot;
import org.foxtailmoor.core.distribution.DocumentListener;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.protocol.Document;
import org.foxtailmoor.protocol.DocumentVersions;
import org.foxtailmoor.protocol.generated.CrashReport;
import org.foxtailmoor.protocol.generated.DocumentVersion;
import org.foxtailmoor.protocol.generated.Instance;
import org.foxtailmoor.protocol.generated.Topic;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Validates documents, and passes the active ones (those in force) to a listener in decoded form.
 */
final class DocumentsInForce implements DocumentListener {
    private static final Logger LOGGER = LoggerFactory.getLogger(DocumentsInForce.class);

    private final String mInstanceId;
    private final PeerAddresses mAddresses;
    private final ControlListener mListener;
    private CatalogueSnapshot mCatalogue = CatalogueSnapshot.EMPTY;
    private DocumentVersion mInstancesVersion = DocumentVersions.NONE;
    private List<Instance> mInstances = List.of();

    DocumentsInForce(String instanceId, PeerAddresses addresses, ControlListener listener) {
        mInstanceId = instanceId;
        mAddresses = addresses;
        mListener = listener;
    }

    @Override
    public Optional<String> check(Topic topic, Document document) {
        Optional<String> refusalReason =
                topic == Topic.TOPIC_INSTANCES
                        ? InstanceCodec.check(document)
                        : checkCatalogue(document);
        refusalReason.ifPresent(
                reason ->
                        LOGGER.warn(
                                "refused version {} of {}: {}",
                                DocumentVersions.format(document.version()),
                                topic,
                                reason));
        return refusalReason;
    }

    @Override
    public void documentApplied(Topic topic, Document document, String from) {
        if (topic == Topic.TOPIC_INSTANCES) {
            mInstances = InstanceCodec.decode(document);
            mInstancesVersion = document.version();
            mAddresses.update(mInstances);
        } else {
            mCatalogue = CatalogueCodec.toSnapshot(document);
        }
        LOGGER.info(
                "{}: version {} of {} is now active, received from {}",
                mInstanceId,
                DocumentVersions.format(document.version()),
                topic,
                from);
        mListener.onDocuments(mCatalogue, mInstancesVersion, mInstances);
        if (topic == Topic.TOPIC_INSTANCES && isListedAsLeaving()) {
            mListener.onListedAsLeaving();
        }
    }

    @Override
    public void crashReportsReceived(List<CrashReport> reports) {
        mListener.onCrashReports(reports);
    }

    private boolean isListedAsLeaving() {
        for (Instance instance : mInstances) {
            if (instance.getId().equals(mInstanceId)) {
                return instance.getLeaving();
            }
        }
        return false;
    }

    private static Optional<String> checkCatalogue(Document document) {
        try {
            List<CatalogueFault> problems = CatalogueChecker.check(document);
            return problems.isEmpty() ? Optional.empty() : Optional.of(problems.toString());
        } catch (FoxtailmoorException e) {
            return Optional.of(e.getMessage());
        }
    }
}
