package org.bulrushvale.daemon.forward;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.kernel.time.Clock;

/**
 * Writes one JSON line per decision to an output stream.
 *
 * <p>Invariant: logging never blocks on the output; lines beyond the rate limit or the queue
 * capacity are dropped, and the next line that is written carries their number. Thread safety: safe
 * for use by any thread.
 */
final class DecisionLog implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 2_048;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long CLOSE_TIMEOUT_MS = 300;

    private final Clock mClock;
    private final PrintStream mOut;
    private final String mVm;
    private final int mLinesPerSecond;
    private final BlockingQueue<String> mQueue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Thread mWriter;
    private long mWindowStartNanos;
    private int mLinesInWindow;
    private long mDroppedLines;

    DecisionLog(Clock clock, PrintStream out, String vm, int linesPerSecond) {
        mClock = clock;
        mOut = out;
        mVm = vm;
        mLinesPerSecond = linesPerSecond;
        mWindowStartNanos = clock.monotonicNanos();
        mWriter = new Thread(this::writeLines, "decision-log");
        mWriter.setDaemon(true);
        mWriter.start();
    }

    /** Creates a line for an event; {@link Line#write} or {@link Line#writeAlways} writes it. */
    Line line(String event) {
        return new Line(event);
    }

    private synchronized void enqueue(Line line, boolean always) {
        long now = mClock.monotonicNanos();
        if (now - mWindowStartNanos >= NANOS_PER_SECOND) {
            mWindowStartNanos = now;
            mLinesInWindow = 0;
        }
        if (!always && mLinesInWindow >= mLinesPerSecond) {
            mDroppedLines++;
            return;
        }
        if (mDroppedLines > 0) {
            line.with("left_out", mDroppedLines);
        }
        if (mQueue.offer(line.json())) {
            mLinesInWindow++;
            mDroppedLines = 0;
        } else {
            mDroppedLines++;
        }
    }

    private void writeLines() {
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
            mWriter.join(TimeUnit.MILLISECONDS.toMillis(CLOSE_TIMEOUT_MS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * A log line under construction. It is written as text at once, because building and walking a
     * tree of JSON nodes took most of the time of a line.
     *
     * <p>Thread safety: not safe.
     */
    final class Line {
        private static final int TYPICAL_CHARS = 256;

        private final StringBuilder mJson = new StringBuilder(TYPICAL_CHARS);

        private Line(String event) {
            mJson.append("{\"time\":\"").append(mClock.now()).append('"');
            with("vm", mVm);
            with("event", event);
        }

        Line with(String name, String value) {
            appendName(name);
            mJson.append('"');
            JsonStringEncoder.getInstance().quoteAsString(value, mJson);
            mJson.append('"');
            return this;
        }

        Line with(String name, long value) {
            appendName(name);
            mJson.append(value);
            return this;
        }

        /** Appends the name of a field, which needs no escapes. */
        private void appendName(String name) {
            mJson.append(",\"").append(name).append("\":");
        }

        private String json() {
            return mJson.append('}').toString();
        }

        /** Writes the line unless the rate limit is reached. */
        void write() {
            enqueue(this, false);
        }

        /** Writes the line regardless of the rate limit; for events of the process itself. */
        void writeAlways() {
            enqueue(this, true);
        }
    }
}
