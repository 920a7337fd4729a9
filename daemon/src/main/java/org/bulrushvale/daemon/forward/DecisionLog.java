package org.bulrushvale.daemon.forward;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.kernel.time.Clock;

/**
 * One JSON line on standard output for each decision.
 *
 * <p>Invariant: a caller never waits for the output; lines over the rate or the queue are left out
 * and counted in the next line that is written. Thread safety: safe for use by any thread.
 */
final class DecisionLog implements AutoCloseable {
    private static final int QUEUE_LINES = 2_048;
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long CLOSE_WAIT_MS = 300;

    private final Clock mClock;
    private final PrintStream mOut;
    private final String mVm;
    private final int mLinesPerSecond;
    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Thread mWriter;
    private long mWindowStart;
    private int mInWindow;
    private long mLeftOut;

    DecisionLog(Clock clock, PrintStream out, String vm, int linesPerSecond) {
        mClock = clock;
        mOut = out;
        mVm = vm;
        mLinesPerSecond = linesPerSecond;
        mWindowStart = clock.monotonicNanos();
        mWriter = new Thread(this::write, "decision-log");
        mWriter.setDaemon(true);
        mWriter.start();
    }

    /** Returns a line about an event; nothing is written before {@link Line#write}. */
    Line line(String event) {
        return new Line(event);
    }

    private synchronized void offer(ObjectNode json, boolean always) {
        long now = mClock.monotonicNanos();
        if (now - mWindowStart >= SECOND_NANOS) {
            mWindowStart = now;
            mInWindow = 0;
        }
        if (!always && mInWindow >= mLinesPerSecond) {
            mLeftOut++;
            return;
        }
        if (mLeftOut > 0) {
            json.put("left_out", mLeftOut);
        }
        if (mQueue.offer(json.toString())) {
            mInWindow++;
            mLeftOut = 0;
        } else {
            mLeftOut++;
        }
    }

    private void write() {
        try {
            while (true) {
                mOut.println(mQueue.take());
                if (mQueue.isEmpty()) {
                    mOut.flush();
                }
            }
        } catch (InterruptedException e) {
            for (String line = mQueue.poll(); line != null; line = mQueue.poll()) {
                mOut.println(line);
            }
            mOut.flush();
        }
    }

    @Override
    public void close() {
        mWriter.interrupt();
        try {
            mWriter.join(TimeUnit.MILLISECONDS.toMillis(CLOSE_WAIT_MS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * One line.
     *
     * <p>Thread safety: not safe.
     */
    final class Line {
        private final ObjectNode mJson = JsonNodeFactory.instance.objectNode();

        private Line(String event) {
            mJson.put("time", mClock.now().toString());
            mJson.put("vm", mVm);
            mJson.put("event", event);
        }

        Line with(String name, String value) {
            mJson.put(name, value);
            return this;
        }

        Line with(String name, long value) {
            mJson.put(name, value);
            return this;
        }

        /** Writes the line unless the rate is exceeded. */
        void write() {
            offer(mJson, false);
        }

        /** Writes the line whatever the rate; for lines about the process itself. */
        void writeAlways() {
            offer(mJson, true);
        }
    }
}
