package org.bulrushvale.daemon;

import java.util.List;
import org.bulrushvale.decision.retry.ContentFingerprint;

/**
 * Fingerprints of the input of a request, by which requests that crash servers are recognized.
 *
 * <p>Thread safety: immutable.
 *
 * @param whole fingerprint of the whole input
 * @param lines fingerprints of its lines, which other inputs may share
 */
record InputContent(ContentFingerprint whole, List<ContentFingerprint> lines) {
    InputContent {
        lines = List.copyOf(lines);
    }

    static InputContent of(String workspace, String input) {
        return new InputContent(
                ContentFingerprint.of(workspace, input),
                ContentFingerprint.ofLines(workspace, input));
    }
}
