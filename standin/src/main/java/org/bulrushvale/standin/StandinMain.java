package org.bulrushvale.standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import org.bulrushvale.standin.config.ConfigService;
import org.bulrushvale.standin.model.ModelRunner;
import org.bulrushvale.standin.plain.PlainService;
import org.bulrushvale.standin.pool.PoolServer;
import org.bulrushvale.standin.stage.StageOptions;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Starts one stand-in per process. It prints {@code LISTENING <port>} once it accepts connections
 * and runs until the process is ended.
 *
 * <p>Thread safety: used by the main thread.
 */
@Command(
        name = "bulrushvale-standin",
        description = "Stand-ins of external systems for tests.",
        mixinStandardHelpOptions = true,
        subcommands = {
            StandinMain.ModelCommand.class,
            StandinMain.PoolCommand.class,
            StandinMain.PlainCommand.class,
            StandinMain.ConfigCommand.class
        })
public final class StandinMain {
    private StandinMain() {}

    /** Runs the given subcommand; the exit code is 2 for bad arguments. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new StandinMain()).execute(args));
    }

    private static int printPortAndWait(int port) {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        out.println("LISTENING " + port);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    /** Options for the address to listen on. Thread safety: not safe; used by the main thread. */
    static final class ListenOptions {
        @Option(names = "--host", defaultValue = "127.0.0.1", description = "Address to bind.")
        String mHost = "127.0.0.1";

        @Option(names = "--port", defaultValue = "0", description = "Port to bind, 0: any.")
        int mPort;
    }

    /**
     * Options that all simulated backend servers share. Thread safety: not safe; used by the main
     * thread.
     */
    static final class BackendServerOptions {
        @Mixin ListenOptions mListenOptions = new ListenOptions();

        @Option(names = "--name", description = "Server name in load reports.")
        @Nullable String mName;

        @Option(
                names = "--slots",
                description = "Largest number of calls that run at the same time.")
        @Nullable Integer mSlots;

        @Option(names = "--bearable", description = "Largest load that a cold server survives.")
        @Nullable Integer mBearable;

        @Option(names = "--queue", description = "Calls that may wait for a slot.")
        @Nullable Integer mQueueLimit;

        @Option(
                names = "--cold",
                description = "Completed calls until a cold server is warm; 0: it starts warm.")
        int mColdCompletions;

        @Option(
                names = "--base-ms",
                description = "Service time before the first token, in milliseconds.")
        @Nullable Long mBaseMs;

        @Option(
                names = "--token-us",
                description = "Time per token when no other call runs, in microseconds.")
        @Nullable Long mTokenMicros;

        @Option(
                names = "--tokens",
                description = "Tokens of an answer when the call gives no limit.")
        @Nullable Integer mDefaultTokens;

        @Option(
                names = "--cache-bytes",
                description = "Memory limit of the prefix cache; 0: no cache.")
        @Nullable Long mCacheBytes;

        @Option(names = "--seed", defaultValue = "1", description = "Seed of random choices.")
        long mSeed = 1;

        @Option(
                names = "--control",
                description = "JSON of settings to apply at the start, as for POST /control.")
        String mControl = "{}";

        StageOptions.Builder applyTo(StageOptions.Builder options) {
            options.host(mListenOptions.mHost)
                    .port(mListenOptions.mPort)
                    .seed(mSeed)
                    .haltOnCrash(true);
            options.coldCompletions(mColdCompletions);
            if (mName != null) {
                options.name(mName);
            }
            if (mSlots != null) {
                options.slots(mSlots);
            }
            if (mBearable != null) {
                options.bearable(mBearable);
            }
            if (mQueueLimit != null) {
                options.queueLimit(mQueueLimit);
            }
            if (mBaseMs != null) {
                options.baseTime(Duration.ofMillis(mBaseMs));
            }
            if (mTokenMicros != null) {
                options.tokenTime(Duration.ofNanos(mTokenMicros * 1000));
            }
            if (mDefaultTokens != null) {
                options.defaultTokens(mDefaultTokens);
            }
            if (mCacheBytes != null) {
                options.cacheBytes(mCacheBytes);
            }
            return options;
        }
    }

    /** Starts a model runner. Thread safety: not safe; used by the main thread. */
    @Command(name = "model", description = "Model runner.", mixinStandardHelpOptions = true)
    static final class ModelCommand implements Callable<Integer> {
        @Mixin BackendServerOptions mServerOptions = new BackendServerOptions();

        @Override
        public Integer call() throws IOException {
            ModelRunner runner =
                    ModelRunner.builder()
                            .options(mServerOptions::applyTo)
                            .control(mServerOptions.mControl)
                            .start();
            return printPortAndWait(runner.port());
        }
    }

    /** Starts a pool server. Thread safety: not safe; used by the main thread. */
    @Command(
            name = "pool",
            description = "Encoder, retriever or reranker.",
            mixinStandardHelpOptions = true)
    static final class PoolCommand implements Callable<Integer> {
        @Mixin BackendServerOptions mServerOptions = new BackendServerOptions();

        @Override
        public Integer call() throws IOException {
            PoolServer server =
                    PoolServer.builder()
                            .options(mServerOptions::applyTo)
                            .control(mServerOptions.mControl)
                            .start();
            return printPortAndWait(server.port());
        }
    }

    /** Starts a plain service. Thread safety: not safe; used by the main thread. */
    @Command(
            name = "plain",
            description = "Plain service that records every run.",
            mixinStandardHelpOptions = true)
    static final class PlainCommand implements Callable<Integer> {
        @Mixin BackendServerOptions mServerOptions = new BackendServerOptions();

        @Override
        public Integer call() throws IOException {
            PlainService service =
                    PlainService.builder()
                            .options(mServerOptions::applyTo)
                            .control(mServerOptions.mControl)
                            .start();
            return printPortAndWait(service.port());
        }
    }

    /** Starts a configuration service. Thread safety: not safe; used by the main thread. */
    @Command(
            name = "config",
            description = "Configuration service and VM list.",
            mixinStandardHelpOptions = true)
    static final class ConfigCommand implements Callable<Integer> {
        @Mixin ListenOptions mListenOptions = new ListenOptions();

        @Option(
                names = "--values",
                required = true,
                description = "Directory with one JSON file per value.")
        Path mValues = Path.of(".");

        @Option(
                names = "--rate-limit",
                defaultValue = "2000",
                description = "Limit of calls per second.")
        int mRateLimit = 2000;

        @Option(
                names = "--control",
                description = "JSON of settings to apply at the start, as for POST /control.")
        String mControl = "{}";

        @Override
        public Integer call() throws IOException {
            ConfigService service =
                    ConfigService.builder()
                            .host(mListenOptions.mHost)
                            .port(mListenOptions.mPort)
                            .rateLimit(mRateLimit)
                            .values(mValues)
                            .haltOnCrash(true)
                            .control(mControl)
                            .start();
            return printPortAndWait(service.port());
        }
    }
}
