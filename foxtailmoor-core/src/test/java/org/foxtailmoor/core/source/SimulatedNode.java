package org.foxtailmoor.core.source;

import io.netty.util.concurrent.Ticker;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.foxtailmoor.core.source.SimulatedNetwork.Endpoint;
import org.foxtailmoor.core.source.SimulatedNetwork.Payload;

/** Process of a {@link SimulatedFleet}. A restarted process is a new object. */
interface SimulatedNode extends SimulatedNetwork.Handler {
    /** Called once, at the start of the process. */
    void start();

    /** Creates the processes of one design. */
    interface Factory {
        SimulatedNode create(Context context);
    }

    /** Surroundings of a process. Tasks and callbacks of an ended process are not run. */
    interface Context {
        Ticker ticker();

        RandomGenerator random();

        Endpoint self();

        Endpoint store();

        /** Returns the addresses of all nodes, including this one and those that are down. */
        List<Endpoint> nodes();

        void schedule(Duration delay, Runnable task);

        /** See {@link SimulatedNetwork#request}. */
        void request(Endpoint to, Payload request, Duration timeout, Consumer<Payload> callback);

        /** Does the same with separate limits for the parts of the response. */
        void request(
                Endpoint to,
                Payload request,
                SimulatedNetwork.Timeouts timeouts,
                Consumer<Payload> callback);

        /** Reports whether all items have been read, and the revision of the configuration. */
        void onState(boolean complete, long configurationRevision);
    }
}
