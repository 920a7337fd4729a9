package org.bulrushvale.daemon.forward;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.daemon.LogSetup;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.jboss.logging.Logger;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import sun.misc.Signal;

/**
 * Entry point of the forwarding entry.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 2 for bad arguments or settings, 1 when the daemon
 * cannot start. Thread safety: used by the main thread.
 */
@Command(
        name = "bulrushvale-forward",
        description = "Forwarding entry: serves callers by the published routes.",
        mixinStandardHelpOptions = true)
public final class ForwardMain implements Callable<Integer> {
    private static final Logger LOG = Logger.getLogger(ForwardMain.class);
    private static final int BAD_SETTINGS = 2;

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

    private ForwardMain() {}

    /** Runs the entry until it is drained. */
    public static void main(String[] args) {
        LogSetup.selectManager();
        System.exit(new CommandLine(new ForwardMain()).execute(args));
    }

    @Override
    public Integer call() throws InterruptedException {
        if (mSpec == null) {
            return BAD_SETTINGS;
        }
        PrintWriter err = mSpec.commandLine().getErr();
        if (mSelfTest) {
            return SelfTest.run(err);
        }
        Path path = mSettings;
        if (path == null) {
            err.println("no settings file: use --settings or set BULRUSHVALE_CONFIG");
            return BAD_SETTINGS;
        }
        ForwardSettings.Result result;
        try {
            result = ForwardSettings.check(Files.readString(path));
        } catch (IOException e) {
            err.println("settings file cannot be read: " + path);
            return BAD_SETTINGS;
        }
        result.faults().forEach(fault -> err.println(path + ": " + fault));
        if (result.settings().isEmpty()) {
            return BAD_SETTINGS;
        }
        return mCheck ? 0 : run(path, result.settings().get(), err);
    }

    private static int run(Path path, ForwardSettings settings, PrintWriter err)
            throws InterruptedException {
        LogSetup.configure(true, settings.log().level());
        try (ForwardDaemon daemon = ForwardDaemon.start(settings)) {
            Signal.handle(new Signal("HUP"), signal -> reload(daemon, path));
            Thread onSignal = new Thread(() -> drainOnSignal(daemon), "drain-on-signal");
            Runtime.getRuntime().addShutdownHook(onSignal);
            daemon.awaitDrained();
            return 0;
        } catch (BulrushvaleException e) {
            err.println("cannot start: " + e.detail());
            return 1;
        }
    }

    private static void reload(ForwardDaemon daemon, Path path) {
        try {
            daemon.reload(ForwardSettings.check(Files.readString(path)));
        } catch (IOException e) {
            LOG.errorf("settings file cannot be read: %s", e.getMessage());
        }
    }

    private static void drainOnSignal(ForwardDaemon daemon) {
        daemon.drain();
        try {
            daemon.awaitDrainedWithinGrace();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
