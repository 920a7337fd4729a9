package org.bulrushvale.daemon.forward;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.bulrushvale.decision.forward.EventSplitter;

/**
 * The events of a stream that its caller has received.
 *
 * <p>Invariant: an event with an id is passed on once, also when the stream is resumed elsewhere.
 * Thread safety: used on the event loop.
 */
final class DeliveredEvents {
    private long mLastId;

    /**
     * Creates the state of a stream.
     *
     * @param lastId id of the last event that the caller has received
     */
    DeliveredEvents(long lastId) {
        mLastId = lastId;
    }

    long lastId() {
        return mLastId;
    }

    /** Returns the bytes of the events that the caller does not have, and counts them as passed. */
    byte[] addNew(List<EventSplitter.Event> events) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (EventSplitter.Event event : events) {
            if (isNew(event)) {
                bytes.writeBytes(event.bytes());
            }
        }
        return bytes.toByteArray();
    }

    private boolean isNew(EventSplitter.Event event) {
        if (event.id() == EventSplitter.Event.NO_ID) {
            return true;
        }
        if (event.id() <= mLastId) {
            return false;
        }
        mLastId = event.id();
        return true;
    }
}
