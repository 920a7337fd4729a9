package org.bulrushvale.cli;

/**
 * Ends a command with an exit code and a message for the operator.
 *
 * <p>Invariant: the message holds no token. Thread safety: immutable.
 */
final class CliException extends Exception {
    static final int OK = 0;
    static final int REFUSED = 1;
    static final int USAGE = 2;
    static final int UNREACHABLE = 3;
    static final int INVALID_CONFIG = 4;

    private static final long serialVersionUID = 1L;

    private final int mExitCode;

    private CliException(int exitCode, String message) {
        super(message);
        mExitCode = exitCode;
    }

    static CliException refused(String detail) {
        return new CliException(REFUSED, detail);
    }

    static CliException usage(String detail) {
        return new CliException(USAGE, detail);
    }

    static CliException notConnected(String address) {
        return new CliException(UNREACHABLE, "cannot connect to " + address);
    }

    static CliException noAnswer(String address) {
        return new CliException(
                UNREACHABLE, "no complete answer from " + address + "; the call may have run");
    }

    static CliException unreadable(String path) {
        return new CliException(USAGE, "cannot read " + path);
    }

    static CliException notJson(String address) {
        return new CliException(REFUSED, "answer of " + address + " is not JSON");
    }

    int exitCode() {
        return mExitCode;
    }

    String text() {
        return String.valueOf(getMessage());
    }
}
