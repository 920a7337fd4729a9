package org.bulrushvale.kernel.event;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.RingBuffer;
import com.lmax.disruptor.WaitStrategy;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.kernel.time.Clock;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;

/**
 * Runs tasks one at a time on a single thread, which is the only one that writes decision state, so
 * that this state needs no locks. The queue is a Disruptor ring buffer with one consumer.
 *
 * <pre>{@code
 * EventLoop loop = EventLoop.start("core", 4096);
 * boolean accepted = loop.offer(() -> table.update(report));
 * }</pre>
 *
 * <p>Invariant: tasks run one at a time, in the order in which they were accepted, except that a
 * task that is passed to {@link #execute} on the loop's own thread runs at once, within the current
 * task; an exception that a task throws is logged and does not stop the loop.
 *
 * <p>Thread safety: all methods may be called from any thread.
 */
public final class EventLoop implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EventLoop.class);
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofSeconds(5);

    private final Disruptor<TaskSlot> mDisruptor;
    private final RingBuffer<TaskSlot> mRing;
    private final ScheduledExecutorService mTimers;
    private volatile @Nullable Thread mThread;

    private EventLoop(String name, int capacity, WaitStrategy waitStrategy) {
        mDisruptor =
                new Disruptor<>(
                        TaskSlot::new,
                        capacity,
                        task -> loopThread(name, task),
                        ProducerType.MULTI,
                        waitStrategy);
        EventHandler<TaskSlot> handler = (slot, sequence, endOfBatch) -> slot.run();
        mDisruptor.handleEventsWith(handler);
        mRing = mDisruptor.start();
        mTimers = Executors.newSingleThreadScheduledExecutor(task -> timerThread(name, task));
    }

    /** Starts a loop whose ring buffer holds {@code capacity} tasks, which is a power of two. */
    public static EventLoop start(String name, int capacity) {
        return new EventLoop(name, capacity, new BlockingWaitStrategy());
    }

    private Thread loopThread(String name, Runnable task) {
        Thread thread = new Thread(task, name + "-loop");
        thread.setDaemon(true);
        mThread = thread;
        return thread;
    }

    private static Thread timerThread(String name, Runnable task) {
        Thread thread = new Thread(task, name + "-timer");
        thread.setDaemon(true);
        return thread;
    }

    /** Submits a task; returns false, without blocking, when the ring buffer is full. */
    public boolean offer(Runnable task) {
        return mRing.tryPublishEvent((slot, sequence) -> slot.set(task));
    }

    /**
     * Submits a task that must not be dropped; blocks while the ring buffer is full. On the loop's
     * own thread, where blocking could deadlock, the task runs at once instead.
     */
    public void execute(Runnable task) {
        if (isLoopThread()) {
            runSafely(task);
            return;
        }
        mRing.publishEvent((slot, sequence) -> slot.set(task));
    }

    /** Runs a task on the loop after a delay. */
    public ScheduledTask schedule(Duration delay, Runnable task) {
        ScheduledFuture<?> future =
                mTimers.schedule(
                        () -> execute(task), Clock.boundedNanos(delay), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    /** Runs a task on the loop repeatedly, with a fixed delay from one submission to the next. */
    public ScheduledTask scheduleWithFixedDelay(Duration period, Runnable task) {
        ScheduledFuture<?> future =
                mTimers.scheduleWithFixedDelay(
                        () -> execute(task),
                        period.toNanos(),
                        period.toNanos(),
                        TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    /** Returns true on the loop's own thread. */
    public boolean isLoopThread() {
        return Thread.currentThread() == mThread;
    }

    /** Returns the number of free slots in the ring buffer. */
    public long remainingCapacity() {
        return mRing.remainingCapacity();
    }

    @Override
    public void close() {
        mTimers.shutdownNow();
        try {
            mDisruptor.shutdown(SHUTDOWN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (com.lmax.disruptor.TimeoutException e) {
            LOG.warnf(
                    "event loop halted with pending tasks after the shutdown timeout of %s",
                    SHUTDOWN_TIMEOUT);
            mDisruptor.halt();
        }
    }

    private static void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | AssertionError | LinkageError | StackOverflowError e) {
            // One task must not end the loop, which would leave a process that serves nobody.
            LOG.error("task failed on the event loop", e);
        }
    }

    /** A task that was scheduled on the loop and can be cancelled. */
    @FunctionalInterface
    public interface ScheduledTask {
        /** Cancels the task; has no effect on a task that already runs. */
        void cancel();
    }

    /**
     * One slot of the ring buffer, holding a task.
     *
     * <p>Thread safety: a producer writes the slot before publishing it, and the loop reads it
     * afterwards.
     */
    private static final class TaskSlot {
        private @Nullable Runnable mTask;

        void set(Runnable task) {
            mTask = task;
        }

        void run() {
            Runnable task = mTask;
            mTask = null;
            if (task != null) {
                runSafely(task);
            }
        }
    }
}
