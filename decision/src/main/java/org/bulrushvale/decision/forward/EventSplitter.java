package org.bulrushvale.decision.forward;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a stream of server-sent events into whole events.
 *
 * <p>Invariant: each event is returned once, with all its bytes, as soon as the blank line that
 * ends it has arrived. Thread safety: not safe.
 */
public final class EventSplitter {
    /** Longest event in bytes; a longer one is not an event of a model. */
    public static final int MAX_EVENT_BYTES = 1 << 20;

    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private int mLineLength;

    /** Adds bytes and returns the events that they complete. */
    public List<Event> add(byte[] bytes) {
        List<Event> events = new ArrayList<>();
        for (byte value : bytes) {
            mPending.write(value);
            if (value == '\n') {
                if (mLineLength == 0 && mPending.size() > 1) {
                    events.add(parseEvent(mPending.toByteArray()));
                    mPending.reset();
                }
                mLineLength = 0;
            } else if (value != '\r') {
                mLineLength++;
            }
        }
        return events;
    }

    /** Returns true when the last event is longer than an event may be. */
    public boolean isTooLong() {
        return mPending.size() > MAX_EVENT_BYTES;
    }

    /** Returns true when the last event has begun but is not complete. */
    public boolean isInsideEvent() {
        return mPending.size() > 0;
    }

    private static Event parseEvent(byte[] bytes) {
        long id = Event.NO_ID;
        for (String line : new String(bytes, StandardCharsets.UTF_8).split("\n", -1)) {
            if (line.startsWith("id:")) {
                try {
                    id = Long.parseLong(line.substring("id:".length()).trim());
                } catch (NumberFormatException e) {
                    id = Event.NO_ID;
                }
            }
        }
        return new Event(id, bytes);
    }

    /**
     * One event, including the blank line that ends it.
     *
     * <p>Invariant: the bytes are those received, unchanged. Thread safety: immutable.
     *
     * @param id number in the last {@code id} line; {@link #NO_ID} if there is none
     */
    public record Event(long id, byte[] bytes) {
        /** Id of an event that has no {@code id} line, or one that is not a number. */
        public static final long NO_ID = -1;
    }
}
