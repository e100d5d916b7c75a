package org.mangowall.edge.log;

/**
 * A task that logs an unexpected error and returns.
 *
 * <p>An executor silently stops to repeat a task that throws: one bad message would end a duty of the host for good. An
 * {@link Error} is no reason to end it either; most concern one task, such as a class that can't be loaded just now.
 */
public final class GuardedTask implements Runnable {

    private final DecisionLog log;
    private final String name;
    private final Runnable task;

    /**
     * Creates a guard.
     *
     * @param name the name of the task in log lines
     */
    public GuardedTask(DecisionLog log, String name, Runnable task) {
        this.log = log;
        this.name = name;
        this.task = task;
    }

    @Override
    public void run() {
        try {
            task.run();
        } catch (RuntimeException | Error unexpected) {
            log.write("task-failed", line -> {
                line.writeStringField("task", name);
                line.writeStringField("reason", unexpected.toString());
                line.writeStringField("location", String.valueOf(firstFrame(unexpected)));
            });
        }
    }

    private static StackTraceElement firstFrame(Throwable unexpected) {
        StackTraceElement[] frames = unexpected.getStackTrace();
        return frames.length == 0 ? null : frames[0];
    }
}
