package org.bulrushvale.daemon.forward;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.adapters.settings.SettingsFault;
import org.bulrushvale.daemon.LogSetup;
import org.bulrushvale.decision.drain.GracePeriod;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/**
 * Starts the forwarding entry and stops it on SIGTERM.
 *
 * <p>Exit codes: 0 after a graceful shutdown, 2 for bad arguments or settings, 1 when the daemon
 * cannot start. Thread safety: used by the main thread; signal handlers only pass work to the
 * daemon.
 */
public final class ForwardMain {
    static final int EXIT_BAD_SETTINGS = 2;
    // The platform may change the file without sending SIGHUP.
    private static final Duration SETTINGS_POLL_PERIOD = Duration.ofSeconds(1);
    // Status of a process that SIGTERM has ended.
    private static final int EXIT_TERMINATED = 128 + 15;
    // Time after the end of a stop in which the threads of the daemon end.
    private static final Duration CLOSE_LIMIT = Duration.ofMillis(200);
    // The process is halted this long after the end of a stop when it has not exited by itself.
    private static final Duration EXIT_LIMIT = Duration.ofMillis(50);
    private static final String SETTINGS_ENV_VARIABLE = "BULRUSHVALE_CONFIG";

    private ForwardMain() {}

    /** Runs the entry until it is drained. */
    public static void main(String[] args) throws InterruptedException {
        LogSetup.selectManager();
        // Loading picocli takes a sixth of the start time and is not needed without options.
        int code =
                args.length == 0
                        ? runFromEnvironment()
                        : new CommandLine(new ForwardCommand()).execute(args);
        System.exit(code);
    }

    private static int runFromEnvironment() throws InterruptedException {
        String path = System.getenv(SETTINGS_ENV_VARIABLE);
        PrintWriter err = new PrintWriter(System.err, true);
        return run(path == null ? null : Path.of(path), false, err);
    }

    /** Checks the settings and, unless {@code checkOnly}, runs the entry until it is drained. */
    static int run(@Nullable Path path, boolean checkOnly, PrintWriter err)
            throws InterruptedException {
        if (path == null) {
            err.println("no settings file: use --settings or set " + SETTINGS_ENV_VARIABLE);
            return EXIT_BAD_SETTINGS;
        }
        SettingsFile file = new SettingsFile(path);
        // A signal may arrive before the start has ended.
        CompletableFuture<ForwardDaemon> started = new CompletableFuture<>();
        Signal.handle(new Signal("HUP"), new ReloadOnSignal(started, file));
        ForwardSettings.Result result;
        try {
            result = file.read();
        } catch (IOException e) {
            err.println("settings file cannot be read: " + path);
            return EXIT_BAD_SETTINGS;
        }
        for (SettingsFault fault : result.faults()) {
            err.println(path + ": " + fault);
        }
        if (result.settings().isEmpty()) {
            return EXIT_BAD_SETTINGS;
        }
        return checkOnly ? 0 : runEntry(file, result.settings().get(), started, err);
    }

    private static int runEntry(
            SettingsFile file,
            ForwardSettings settings,
            CompletableFuture<ForwardDaemon> started,
            PrintWriter err)
            throws InterruptedException {
        LogSetup.configure(true, settings.log().level());
        CountDownLatch closed = new CountDownLatch(1);
        Duration endAfter = endAfter(settings.drain());
        Runtime.getRuntime().addShutdownHook(new DrainOnSignal(started, closed, endAfter));
        try (ForwardDaemon daemon = ForwardDaemon.start(settings)) {
            started.complete(daemon);
            while (!daemon.awaitDrained(SETTINGS_POLL_PERIOD)) {
                Optional<ForwardSettings.Result> changed = file.readChanged();
                if (changed.isPresent()) {
                    daemon.reload(changed.get());
                }
            }
            return 0;
        } catch (BulrushvaleException e) {
            err.println("cannot start: " + e.detail());
            return 1;
        } finally {
            started.cancel(false);
            closed.countDown();
        }
    }

    /** Returns the time from a request to stop to the end of the process. */
    private static Duration endAfter(ForwardSettings.Drain drain) {
        return new GracePeriod(Clock.system(), drain.unreadyDelay(), drain.grace()).endAfter();
    }

    private static void reload(ForwardDaemon daemon, SettingsFile file) {
        try {
            daemon.reload(file.read());
        } catch (IOException e) {
            daemon.reloadFailed("settings file cannot be read: " + e.getMessage());
        }
    }

    // The self-test does not run this class, so the archive lacks its lambdas. The first lambda
    // outside the archive loads and compiles the whole machinery that creates such classes, so the
    // classes below are written out.

    /**
     * Reads the settings again, also when the signal arrives before the start has ended.
     *
     * <p>Thread safety: immutable.
     */
    private static final class ReloadOnSignal implements SignalHandler {
        private final CompletableFuture<ForwardDaemon> mStarted;
        private final SettingsFile mFile;

        ReloadOnSignal(CompletableFuture<ForwardDaemon> started, SettingsFile file) {
            mStarted = started;
            mFile = file;
        }

        @Override
        public void handle(Signal signal) {
            mStarted.thenAccept(daemon -> reload(daemon, mFile));
        }
    }

    /**
     * Drains the entry when the process is asked to end.
     *
     * <p>Thread safety: immutable.
     */
    private static final class DrainOnSignal extends Thread {
        private final CompletableFuture<ForwardDaemon> mStarted;
        private final CountDownLatch mClosed;
        private final Duration mEndAfter;

        DrainOnSignal(
                CompletableFuture<ForwardDaemon> started,
                CountDownLatch closed,
                Duration endAfter) {
            super("drain-on-signal");
            mStarted = started;
            mClosed = closed;
            mEndAfter = endAfter;
        }

        @Override
        public void run() {
            long requestedNanos = Clock.system().monotonicNanos();
            HaltTimer.start(
                    Clock.system(),
                    requestedNanos + mEndAfter.plus(EXIT_LIMIT).toNanos(),
                    () -> Runtime.getRuntime().halt(EXIT_TERMINATED));
            try {
                ForwardDaemon daemon = mStarted.get();
                daemon.drain(requestedNanos);
                daemon.awaitDrainedWithinGrace();
                // The JVM waits 300 ms at its exit for threads that wait for sockets.
                mClosed.await(CLOSE_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (ExecutionException | CancellationException e) {
                // The entry did not start, so there is nothing to drain.
                return;
            }
        }
    }
}
