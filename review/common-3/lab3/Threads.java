package lab3;

import java.util.concurrent.ThreadFactory;

/** Creates the threads of the stand-ins, which do not keep the process alive. */
final class Threads {
    static final ThreadFactory DAEMONS =
            task -> {
                Thread thread = new Thread(task);
                thread.setDaemon(true);
                return thread;
            };

    private Threads() {}

    static void start(Runnable task) {
        DAEMONS.newThread(task).start();
    }
}
