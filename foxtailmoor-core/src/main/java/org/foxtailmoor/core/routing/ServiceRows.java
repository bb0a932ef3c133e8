package org.foxtailmoor.core.routing;

import java.util.ArrayList;
import java.util.List;

/** Rows of the upstreams of one service. */
final class ServiceRows {
    final List<UpstreamRow> mRows = new ArrayList<>();
    long mSlowStartNanoseconds;

    /** Mean of the known loads; written by the load decay system. */
    double mMeanLoad;
}
