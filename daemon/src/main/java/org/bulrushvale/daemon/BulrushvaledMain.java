package org.bulrushvale.daemon;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.bulrushvale.adapters.settings.EntrySettings;
import org.bulrushvale.adapters.settings.SettingsCheck;
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
 * Entry point of the entry daemon.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 2 for bad arguments or settings, 1 when the daemon
 * cannot start. Thread safety: used by the main thread.
 */
@Command(
        name = "bulrushvaled",
        description = "Entry daemon: serves callers through the published pipelines.",
        mixinStandardHelpOptions = true)
public final class BulrushvaledMain implements Callable<Integer> {
    private static final int EXIT_BAD_SETTINGS = 2;

    @Option(names = "--settings", required = true, description = "Settings file (INI).")
    private @Nullable Path mSettings;

    @Spec private @Nullable CommandSpec mSpec;

    private BulrushvaledMain() {}

    /** Runs the daemon until it is drained. */
    public static void main(String[] args) {
        LogSetup.selectManager();
        // The JVM would shut down on SIGHUP, which tells other daemons to read their settings.
        Signal.handle(new Signal("HUP"), signal -> logIgnoredHangUp());
        System.exit(new CommandLine(new BulrushvaledMain()).execute(args));
    }

    private static void logIgnoredHangUp() {
        Logger.getLogger(BulrushvaledMain.class)
                .info("SIGHUP has no effect: the settings are read at the start only");
    }

    @Override
    public Integer call() throws InterruptedException {
        if (mSettings == null || mSpec == null) {
            return EXIT_BAD_SETTINGS;
        }
        PrintWriter err = mSpec.commandLine().getErr();
        SettingsCheck.Result result;
        try {
            result = SettingsCheck.check(Files.readString(mSettings));
        } catch (IOException e) {
            err.println("settings file cannot be read: " + mSettings);
            return EXIT_BAD_SETTINGS;
        }
        result.faults().forEach(fault -> err.println(mSettings + ": " + fault));
        if (result.settings().isEmpty()) {
            return EXIT_BAD_SETTINGS;
        }
        return run(result.settings().get(), err);
    }

    private static int run(EntrySettings settings, PrintWriter err) throws InterruptedException {
        LogSetup.configure(settings.log());
        CompletableFuture<EntryDaemon> started = new CompletableFuture<>();
        // Registered before the listeners open, because a signal may arrive during the start.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(() -> drainOnSignal(started), "drain-on-signal"));
        try (EntryDaemon daemon = EntryDaemon.start(settings)) {
            started.complete(daemon);
            daemon.awaitDrained();
            return 0;
        } catch (BulrushvaleException e) {
            err.println("cannot start: " + e.detail());
            return 1;
        } finally {
            started.cancel(false);
        }
    }

    private static void drainOnSignal(CompletableFuture<EntryDaemon> started) {
        try {
            EntryDaemon daemon = started.get();
            daemon.drain();
            daemon.awaitDrained();
        } catch (CancellationException | ExecutionException e) {
            // The daemon could not start and serves nobody.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
