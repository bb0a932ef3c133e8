package org.foxtailmoor.core.source;

import java.util.List;

/** Ranks the sources that a node can read by their states. */
final class SourceRanking {
    /** State of a source, from the best to the worst. */
    enum State {
        /** Nothing is known against the source. */
        USABLE,

        /**
         * The last response was outdated, or the last read has failed or is late. The source may
         * respond by now.
         */
        SUSPECT,

        /** The source must not be read now. */
        UNAVAILABLE
    }

    /**
     * Source in a state.
     *
     * @param state state of the source
     * @param sinceNanoseconds time of the clock of the latest event that made the source {@link
     *     State#SUSPECT}; ignored for the other states
     */
    record Source(State state, long sinceNanoseconds) {
        static final Source USABLE = new Source(State.USABLE, 0);
        static final Source UNAVAILABLE = new Source(State.UNAVAILABLE, 0);
    }

    private SourceRanking() {}

    /**
     * Returns the index of the best source. Usable sources are taken in the order of the list,
     * beginning with a preferred one; then the suspect one that was asked least recently, so that
     * none is left out for long.
     *
     * @param sources states of the sources, not null
     * @param preferred index of the preferred source
     * @return index of the best source, or -1 if all are unavailable
     */
    static int best(List<Source> sources, int preferred) {
        int best = -1;
        for (int offset = 0; offset < sources.size(); offset++) {
            int index = Math.floorMod(preferred + offset, sources.size());
            if (sources.get(index).state() != State.UNAVAILABLE
                    && (best < 0 || isBetter(sources.get(index), sources.get(best)))) {
                best = index;
            }
        }
        return best;
    }

    private static boolean isBetter(Source source, Source other) {
        if (source.state() != other.state()) {
            return source.state().compareTo(other.state()) < 0;
        }
        return source.state() == State.SUSPECT
                && source.sinceNanoseconds() - other.sinceNanoseconds() < 0;
    }
}
