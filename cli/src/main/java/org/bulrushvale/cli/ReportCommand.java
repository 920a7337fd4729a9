package org.bulrushvale.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Fetches one report from the operator listener of an entry and prints it.
 *
 * <p>Thread safety: not safe; used by the main thread.
 */
@Command
final class ReportCommand implements Callable<Integer> {
    @Mixin private final EntryOptions mOptions = new EntryOptions();
    private final PrintWriter mOut;
    private final String mPath;

    ReportCommand(PrintWriter out, String path) {
        mOut = out;
        mPath = path;
    }

    @Override
    public Integer call() throws CliException {
        try (EntryClient client = mOptions.client()) {
            mOptions.print(mOut, client.get(mOptions.entry(), mPath));
        }
        return CliException.OK;
    }
}
