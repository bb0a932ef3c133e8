package org.foxtailmoor.standins.measure;

/** One measure. */
interface Measure {
    /** Returns the name for the command line and the results. */
    String name();

    /**
     * Runs the measure and prints its results.
     *
     * @throws org.foxtailmoor.base.FoxtailmoorException if the fleet fails
     */
    void run(MeasureContext context);
}
