package org.foxtailmoor.core.routing;

import java.util.ArrayList;
import java.util.List;

/** Upstream table rows of one service. */
final class ServiceRows {
    final List<UpstreamRow> mRows = new ArrayList<>();
    long mSlowStartNanoseconds;

    /** Mean of the reported loads; written by {@link LoadDecaySystem}. */
    double mMeanLoad;
}
