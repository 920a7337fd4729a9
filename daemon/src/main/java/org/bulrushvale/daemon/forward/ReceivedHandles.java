package org.bulrushvale.daemon.forward;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers for which pieces the most recent handles were received, to recognise a late copy of a
 * stage response: the response itself does not name its call.
 *
 * <p>Invariant: a handle belongs to the piece for which it was received first. Thread safety: used
 * on the I/O thread only.
 */
final class ReceivedHandles {
    // Some seconds of results of a fleet; a copy on a connection older than that is not recognised.
    private static final int MAX_HANDLES = 4_096;

    private final Map<String, String> mPieceByHandle = new LinkedHashMap<>();

    /** Records a handle; returns false when it was received for another piece before. */
    boolean record(String handle, String piece) {
        String first = mPieceByHandle.putIfAbsent(handle, piece);
        if (mPieceByHandle.size() > MAX_HANDLES) {
            mPieceByHandle.remove(mPieceByHandle.keySet().iterator().next());
        }
        return first == null || first.equals(piece);
    }
}
