package org.foxtailmoor.node.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.core.membership.InstanceCodec;
import org.foxtailmoor.core.source.InstanceList;
import org.foxtailmoor.core.source.InstanceListing;
import org.foxtailmoor.protocol.Document;

/** Reads the instance list and encodes it as a document with one part per zone. */
final class InstanceListReader implements DocumentReader {
    private final InstanceList mList;
    private long mLastRevision;

    InstanceListReader(InstanceList list) {
        mList = list;
    }

    @Override
    public CompletableFuture<Optional<Document>> read(Document known) {
        return mList.read().thenApply(listing -> Optional.of(encode(listing)));
    }

    @Override
    public CompletableFuture<Optional<Document>> watch(Document known, Duration timeout) {
        return mList.watch(mLastRevision, timeout).thenApply(listing -> listing.map(this::encode));
    }

    private Document encode(InstanceListing listing) {
        mLastRevision = listing.revision();
        return InstanceCodec.encode(listing.revision(), listing.instances());
    }
}
