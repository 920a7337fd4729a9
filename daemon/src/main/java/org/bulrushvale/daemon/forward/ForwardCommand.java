package org.bulrushvale.daemon.forward;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The command line of the forwarding entry.
 *
 * <p>Thread safety: used by the main thread.
 */
@Command(
        name = "bulrushvale-forward",
        description = "Forwarding entry: serves callers by the published routes.",
        mixinStandardHelpOptions = true)
final class ForwardCommand implements Callable<Integer> {
    @Option(
            names = "--settings",
            defaultValue = "${env:BULRUSHVALE_CONFIG}",
            description = "Settings file (INI); the default is the value of BULRUSHVALE_CONFIG.")
    private @Nullable Path mSettings;

    @Option(names = "--check", description = "Checks the settings and exits.")
    private boolean mCheck;

    @Option(
            names = "--self-test",
            description = "Starts the entry on loopback, sends it one request and exits.")
    private boolean mSelfTest;

    @Spec private @Nullable CommandSpec mSpec;

    @Override
    public Integer call() throws InterruptedException {
        if (mSpec == null) {
            return ForwardMain.EXIT_BAD_SETTINGS;
        }
        PrintWriter err = mSpec.commandLine().getErr();
        return mSelfTest ? SelfTest.run(err) : ForwardMain.run(mSettings, mCheck, err);
    }
}
