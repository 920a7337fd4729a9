package org.bulrushvale.adapters.platform;

import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Reports that a call to the platform failed; the detail names the path and the cause.
 *
 * <p>Thread safety: immutable.
 */
public final class PlatformException extends BulrushvaleException {
    private static final long serialVersionUID = 1L;

    private PlatformException(String detail) {
        super(ErrorCode.UPSTREAM_UNAVAILABLE, Verdict.NOT_RUN, detail);
    }

    static PlatformException unreachable(String path, Throwable cause) {
        return new PlatformException(path + ": " + cause.getClass().getSimpleName());
    }

    static PlatformException status(String path, int status) {
        return new PlatformException(path + ": status " + status);
    }

    static PlatformException malformed(String path, String reason) {
        return new PlatformException(path + ": " + reason);
    }
}
