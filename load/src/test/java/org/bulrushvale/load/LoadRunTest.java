package org.bulrushvale.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bulrushvale.load.mix.Arrival;
import org.bulrushvale.load.mix.ArrivalGenerator;
import org.bulrushvale.load.mix.Mix;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against runs that lose arrivals, hide delays or return the wrong exit code. */
public class LoadRunTest {
    private static final String MIX =
            "[load]\nrate = 100\nduration_s = 30\n[workspace w]\ntoken = w-token\n"
                    + "[class ask]\nweight = 3\nstream = true\ndeadline_ms = 1000\n"
                    + "[class book]\nidempotent = false\ndeadline_ms = 1000\n";

    private final AtomicInteger mKeyCalls = new AtomicInteger();
    private final AtomicInteger mRequestCalls = new AtomicInteger();
    private Undertow mEntry;
    private int mPort;
    private Path mFolder;
    private volatile boolean mOmitStreamEnd;
    private volatile long mAnswerDelayMs;

    @BeforeMethod
    public void startEntry() throws Exception {
        mFolder = Files.createTempDirectory("load");
        Files.writeString(mFolder.resolve("mix.ini"), MIX);
        mOmitStreamEnd = false;
        mAnswerDelayMs = 0;
        mKeyCalls.set(0);
        mRequestCalls.set(0);
        mEntry =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(this::answer)
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .build();
        mEntry.start();
        mPort = ((InetSocketAddress) mEntry.getListenerInfo().get(0).getAddress()).getPort();
    }

    @AfterMethod(alwaysRun = true)
    public void stopEntry() {
        mEntry.stop();
    }

    private void answer(HttpServerExchange exchange) {
        if (exchange.getRequestPath().equals("/v1/keys")) {
            exchange.getResponseSender()
                    .send("{\"key\":\"k" + mKeyCalls.incrementAndGet() + "\",\"expires_in_ms\":1}");
            return;
        }
        String id = "r" + mRequestCalls.incrementAndGet();
        String endData = "{\"request_id\":\"" + id + "\",\"verdict\":\"RAN\",\"tokens\":1";
        if (exchange.getRequestHeaders().contains("Idempotency-Key")) {
            exchange.getResponseSender().send(endData + ",\"output\":\"" + id + "\"}");
            return;
        }
        exchange.getResponseHeaders().add(Headers.CONTENT_TYPE, "text/event-stream");
        String body =
                "data: {\"offset\":0,\"text\":\""
                        + id
                        + "\"}\n\n"
                        + (mOmitStreamEnd ? "" : "event: end\ndata: " + endData + "}\n\n");
        exchange.dispatch(
                () ->
                        exchange.getIoThread()
                                .executeAfter(
                                        () -> exchange.getResponseSender().send(body),
                                        mAnswerDelayMs,
                                        TimeUnit.MILLISECONDS));
    }

    private int run(String... extraArgs) {
        String[] commonArgs = {
            "--entry",
            "http://127.0.0.1:" + mPort,
            "--mix",
            mFolder.resolve("mix.ini").toString(),
            "--report",
            mFolder.resolve("report.json").toString(),
            "--plot",
            mFolder.resolve("plot.svg").toString(),
            "--count",
            "40",
            "--seed",
            "7",
            "--check-request-id"
        };
        String[] args = Arrays.copyOf(commonArgs, commonArgs.length + extraArgs.length);
        System.arraycopy(extraArgs, 0, args, commonArgs.length, extraArgs.length);
        return LoadMain.execute(args);
    }

    private JsonNode reportTotal() throws Exception {
        return new ObjectMapper().readTree(mFolder.resolve("report.json").toFile()).path("total");
    }

    @Test
    public void every_arrival_is_accounted_for() throws Exception {
        assertThat(run("--min-attainment", "0.5")).isEqualTo(LoadMain.OK);
        assertThat(reportTotal().path("sent").asInt()).isEqualTo(40);
        assertThat(reportTotal().path("ok").asInt() + reportTotal().path("late").asInt())
                .isEqualTo(40);
        assertThat(mKeyCalls.get()).isPositive().isLessThan(40);
        assertThat(Files.size(mFolder.resolve("plot.svg"))).isPositive();
    }

    @Test
    public void streams_without_an_end_event_count_as_cut() throws Exception {
        mOmitStreamEnd = true;
        assertThat(run("--fail-on-cut")).isEqualTo(LoadMain.CUT);
        assertThat(reportTotal().path("cut").asInt()).isPositive();
    }

    @Test
    public void answers_after_the_deadline_count_as_late() throws Exception {
        mAnswerDelayMs = 1200;
        assertThat(run("--min-attainment", "0.9")).isEqualTo(LoadMain.LOW_ATTAINMENT);
        assertThat(reportTotal().path("late").asInt()).isPositive();
    }

    @Test
    public void arrivals_above_the_in_flight_limit_lower_attainment() throws Exception {
        mAnswerDelayMs = 300;
        run("--max-in-flight", "1");
        int unsent = reportTotal().path("unsent").asInt();
        assertThat(unsent).isPositive();
        int ok = reportTotal().path("ok").asInt();
        // Counts are compared as integers, because 1 - 37 / 40.0 is not 3 / 40.0 in binary.
        assertThat(ok + unsent).isLessThanOrEqualTo(40);
        assertThat(reportTotal().path("attainment").asDouble()).isEqualTo(ok / 40.0, within(1e-9));
    }

    @Test
    public void unreachable_entry_and_bad_mix_have_distinct_exit_codes() throws Exception {
        // Holds the port of an entry that does not listen; a free one could be taken meanwhile.
        try (Socket unreachable = new Socket()) {
            unreachable.bind(new InetSocketAddress("127.0.0.1", 0));
            mPort = unreachable.getLocalPort();
            assertThat(run()).isEqualTo(LoadMain.UNREACHABLE);
        }
        Files.writeString(mFolder.resolve("mix.ini"), "[load]\nrate = 1\n");
        assertThat(run()).isEqualTo(LoadMain.BAD_ARGUMENTS);
    }

    @Test
    public void same_seed_gives_the_same_arrivals() throws Exception {
        Mix mix = Mix.read(mFolder.resolve("mix.ini"));
        ArrivalGenerator firstArrivals = new ArrivalGenerator(mix, 100, 7);
        ArrivalGenerator secondArrivals = new ArrivalGenerator(mix, 100, 7);
        long previousNanos = 0;
        for (int i = 0; i < 100; i++) {
            Arrival arrival = firstArrivals.next();
            assertThat(arrival).isEqualTo(secondArrivals.next());
            assertThat(arrival.intendedNanos()).isGreaterThanOrEqualTo(previousNanos);
            previousNanos = arrival.intendedNanos();
        }
    }
}
