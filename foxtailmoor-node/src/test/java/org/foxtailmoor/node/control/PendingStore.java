package org.foxtailmoor.node.control;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailmoor.core.source.ItemStore;
import org.foxtailmoor.core.source.StoreItem;

/** Store whose listings and watches the test completes. */
final class PendingStore implements ItemStore {
    CompletableFuture<Page> mList;
    CompletableFuture<Changes> mWatch;

    /** Key after which the last listing was continued. */
    String mListAfter;

    private List<StoreItem> mInstances = List.of();

    /** Sets the items of the listing of the instances, which is completed at once. */
    void setInstances(StoreItem... instances) {
        mInstances = List.of(instances);
    }

    @Override
    public CompletableFuture<Page> listInstances() {
        return CompletableFuture.completedFuture(new Page(mInstances, false, 1));
    }

    @Override
    public CompletableFuture<Page> list(String afterKey) {
        mListAfter = afterKey;
        mList = new CompletableFuture<>();
        return mList;
    }

    @Override
    public CompletableFuture<Changes> watch(long afterRevision, Duration wait) {
        mWatch = new CompletableFuture<>();
        return mWatch;
    }
}
