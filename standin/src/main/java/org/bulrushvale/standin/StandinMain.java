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
 * and runs until it is ended.
 *
 * <p>Thread safety: used by the main thread.
 */
@Command(
        name = "bulrushvale-standin",
        description = "Stand-ins of external systems for tests.",
        mixinStandardHelpOptions = true,
        subcommands = {
            StandinMain.Model.class,
            StandinMain.Pool.class,
            StandinMain.Plain.class,
            StandinMain.Config.class
        })
public final class StandinMain {
    private StandinMain() {}

    /** Runs the given subcommand; the exit code is 2 for bad arguments. */
    public static void main(String[] args) {
        System.exit(new CommandLine(new StandinMain()).execute(args));
    }

    private static int serve(int port) {
        PrintWriter out = new PrintWriter(System.out, true, StandardCharsets.UTF_8);
        out.println("LISTENING " + port);
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    /** Where to listen. Thread safety: not safe; used by the main thread. */
    static final class Listen {
        @Option(names = "--host", defaultValue = "127.0.0.1", description = "Address to bind.")
        String mHost = "127.0.0.1";

        @Option(names = "--port", defaultValue = "0", description = "Port to bind, 0: any.")
        int mPort;
    }

    /** Options of backend servers. Thread safety: not safe; used by the main thread. */
    static final class Stage {
        @Mixin Listen mListen = new Listen();

        @Option(names = "--name", description = "Server name in load reports.")
        @Nullable String mName;

        @Option(names = "--slots", description = "Concurrent calls.")
        @Nullable Integer mSlots;

        @Option(names = "--bearable", description = "Concurrent calls while cold.")
        @Nullable Integer mBearable;

        @Option(names = "--queue", description = "Calls that may wait for a slot.")
        @Nullable Integer mQueue;

        @Option(names = "--cold", description = "Completed calls until warm; 0: starts warm.")
        int mCold;

        @Option(names = "--base-ms", description = "Service time before the first token.")
        @Nullable Long mBaseMs;

        @Option(names = "--token-us", description = "Time per token in microseconds.")
        @Nullable Long mTokenMicros;

        @Option(names = "--tokens", description = "Tokens of an answer without a limit.")
        @Nullable Integer mTokens;

        @Option(names = "--cache-bytes", description = "Memory of the prefix cache.")
        @Nullable Long mCacheBytes;

        @Option(names = "--seed", defaultValue = "1", description = "Seed of random choices.")
        long mSeed = 1;

        @Option(names = "--control", description = "First settings, as for POST /control.")
        String mControl = "{}";

        StageOptions.Builder fill(StageOptions.Builder options) {
            options.host(mListen.mHost).port(mListen.mPort).seed(mSeed).haltOnCrash(true);
            options.coldCompletions(mCold);
            if (mName != null) {
                options.name(mName);
            }
            if (mSlots != null) {
                options.slots(mSlots);
            }
            if (mBearable != null) {
                options.bearable(mBearable);
            }
            if (mQueue != null) {
                options.queueLimit(mQueue);
            }
            if (mBaseMs != null) {
                options.baseTime(Duration.ofMillis(mBaseMs));
            }
            if (mTokenMicros != null) {
                options.tokenTime(Duration.ofNanos(mTokenMicros * 1000));
            }
            if (mTokens != null) {
                options.defaultTokens(mTokens);
            }
            if (mCacheBytes != null) {
                options.cacheBytes(mCacheBytes);
            }
            return options;
        }
    }

    /** Starts a model runner. Thread safety: not safe; used by the main thread. */
    @Command(name = "model", description = "Model runner.", mixinStandardHelpOptions = true)
    static final class Model implements Callable<Integer> {
        @Mixin Stage mStage = new Stage();

        @Override
        public Integer call() throws IOException {
            ModelRunner runner =
                    ModelRunner.builder().options(mStage::fill).control(mStage.mControl).start();
            return serve(runner.port());
        }
    }

    /** Starts a pool server. Thread safety: not safe; used by the main thread. */
    @Command(
            name = "pool",
            description = "Encoder, retriever or reranker.",
            mixinStandardHelpOptions = true)
    static final class Pool implements Callable<Integer> {
        @Mixin Stage mStage = new Stage();

        @Override
        public Integer call() throws IOException {
            PoolServer server =
                    PoolServer.builder().options(mStage::fill).control(mStage.mControl).start();
            return serve(server.port());
        }
    }

    /** Starts a plain service. Thread safety: not safe; used by the main thread. */
    @Command(
            name = "plain",
            description = "Plain service that records every run.",
            mixinStandardHelpOptions = true)
    static final class Plain implements Callable<Integer> {
        @Mixin Stage mStage = new Stage();

        @Override
        public Integer call() throws IOException {
            PlainService service =
                    PlainService.builder().options(mStage::fill).control(mStage.mControl).start();
            return serve(service.port());
        }
    }

    /** Starts a configuration service. Thread safety: not safe; used by the main thread. */
    @Command(
            name = "config",
            description = "Configuration service and VM list.",
            mixinStandardHelpOptions = true)
    static final class Config implements Callable<Integer> {
        @Mixin Listen mListen = new Listen();

        @Option(names = "--values", required = true, description = "Directory of JSON values.")
        Path mValues = Path.of(".");

        @Option(names = "--rate-limit", defaultValue = "2000", description = "Calls per second.")
        int mRateLimit = 2000;

        @Option(names = "--control", description = "First settings, as for POST /control.")
        String mControl = "{}";

        @Override
        public Integer call() throws IOException {
            ConfigService service =
                    ConfigService.builder()
                            .host(mListen.mHost)
                            .port(mListen.mPort)
                            .rateLimit(mRateLimit)
                            .values(mValues)
                            .haltOnCrash(true)
                            .control(mControl)
                            .start();
            return serve(service.port());
        }
    }
}
