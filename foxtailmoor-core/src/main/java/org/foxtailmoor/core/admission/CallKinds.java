package org.foxtailmoor.core.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learns which kinds of request are calls, that is, are made by targets of another service while
 * they run a request. A request does not say so, but it states the service of its entry node:
 *
 * <ul>
 *   <li>A kind that only enters at nodes of one other service is a call. Requests of clients that
 *       are spread over the nodes would soon enter elsewhere.
 *   <li>A kind that only enters at nodes of its own service is not a call.
 *   <li>Any other kind counts as a call if it is short: refusing it saves little, and may cost the
 *       longer request that waits for it.
 * </ul>
 */
final class CallKinds {
    /**
     * Number of successive requests from one service that prove the origin of a kind. If a tenth of
     * the requests came from elsewhere, the probability of an error would be 0.1 %.
     */
    static final int ORIGIN_EVIDENCE = 64;

    private static final float LOAD_FACTOR = 0.75f;

    private static final class Origin {
        private String mService = "";
        private int mCount;
    }

    private final Map<String, Origin> mKinds =
            new LinkedHashMap<>(ServiceTimes.KIND_LIMIT, LOAD_FACTOR, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Origin> eldest) {
                    return size() > ServiceTimes.KIND_LIMIT;
                }
            };
    private String mServiceId = "";

    /** Sets the service of the target. */
    void setServiceId(String serviceId) {
        mServiceId = serviceId;
    }

    /** Records where a request of a kind entered; an empty service is unknown. */
    void onArrival(String kind, String callerService) {
        Origin origin = mKinds.computeIfAbsent(kind, name -> new Origin());
        if (callerService.isEmpty() || !callerService.equals(origin.mService)) {
            origin.mService = callerService;
            origin.mCount = 0;
        }
        origin.mCount = Math.min(ORIGIN_EVIDENCE, origin.mCount + 1);
    }

    /**
     * Returns whether a kind counts as a call.
     *
     * @param isShort whether its service time is short compared with that of other kinds
     */
    boolean isCall(String kind, boolean isShort) {
        Origin origin = mKinds.get(kind);
        if (origin == null || origin.mCount < ORIGIN_EVIDENCE || origin.mService.isEmpty()) {
            return isShort;
        }
        return !origin.mService.equals(mServiceId);
    }
}
