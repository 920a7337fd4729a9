package org.bulrushvale.adapters.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.decision.membership.VmList;
import org.bulrushvale.kernel.time.Clock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against mixed revisions, needless calls and a reader that a bad service can stop. */
public class PlatformReaderTest {
    private static final long SEED = 31L;

    private final Map<String, String> mBodies = new ConcurrentHashMap<>();
    private final Map<String, String> mRevisions = new ConcurrentHashMap<>();
    private final List<String> mPaths = new CopyOnWriteArrayList<>();
    private final List<String> mSeen = new CopyOnWriteArrayList<>();
    private volatile int mStatus;
    private volatile CountDownLatch mVmLists = new CountDownLatch(1);
    private Undertow mServer;
    private PlatformClient mClient;
    private ConfigReader mReader;

    @BeforeMethod
    public void start() {
        mStatus = 200;
        mServer = Undertow.builder().addHttpListener(0, "127.0.0.1", this::handle).build();
        mServer.start();
        InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        URI base = URI.create("http://127.0.0.1:" + address.getPort());
        mClient = PlatformClient.create(base, Duration.ofSeconds(5));
        mReader = new ConfigReader(mClient, new Recorder(), Clock.system(), SEED);
        publish(1, 1, 1);
    }

    @AfterMethod
    public void stop() {
        mServer.stop();
        mPaths.clear();
        mSeen.clear();
    }

    private void publish(long revision, long classes, long domains) {
        String index =
                "{\"revision\":%d,\"values\":{\"classes\":%d,\"domains\":%d}}"
                        .formatted(revision, classes, domains);
        mBodies.put("/v1/index", index);
        mBodies.put("/v1/watch", index);
        value("classes", classes);
        value("domains", domains);
    }

    private void value(String name, long revision) {
        mBodies.put("/v1/values/" + name, "[" + revision + "]");
        mRevisions.put("/v1/values/" + name, Long.toString(revision));
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        mPaths.add(path);
        exchange.setStatusCode(mStatus);
        exchange.getResponseHeaders()
                .put(new HttpString("X-Revision"), mRevisions.getOrDefault(path, ""));
        exchange.getResponseSender().send(mBodies.getOrDefault(path, ""));
    }

    @Test
    public void only_changed_values_are_fetched_and_every_call_is_counted() throws Exception {
        mReader.step(true);
        publish(2, 1, 2);
        mReader.step(true);
        mReader.step(true);
        assertThat(mSeen).containsExactly("config 1 [1][1]", "config 2 [1][2]", "confirmed 2");
        assertThat(mPaths)
                .containsOnlyOnce("/v1/values/classes")
                .filteredOn("/v1/values/domains"::equals)
                .hasSize(2);
        assertThat(mClient.calls()).isEqualTo(mPaths.size()).isEqualTo(6);
    }

    @Test
    public void values_newer_than_the_index_are_not_delivered_as_its_revision() throws Exception {
        value("domains", 2);
        assertThat(mReader.step(true)).isPositive();
        assertThat(mSeen).allMatch(seen -> seen.startsWith("failure")).hasSize(1);
        publish(2, 1, 2);
        mReader.step(true);
        assertThat(mSeen).contains("config 2 [1][2]");
    }

    @Test
    public void refusals_and_broken_answers_back_off_and_a_stale_service_is_reported()
            throws Exception {
        mStatus = 429;
        Duration first = mReader.step(true);
        Duration later = Duration.ZERO;
        for (int i = 0; i < 10; i++) {
            later = mReader.step(true);
        }
        assertThat(first).isBetween(Duration.ofMillis(100), Duration.ofMillis(200));
        assertThat(later).isBetween(Duration.ofMillis(1_500), Duration.ofSeconds(3));
        mStatus = 200;
        mBodies.put("/v1/index", "{\"revision\":");
        assertThat(mReader.step(true)).isPositive();
        mBodies.put("/v1/index", " ".repeat((1 << 20) + 1));
        assertThat(mReader.step(true)).isPositive();
        assertThat(mSeen).allMatch(seen -> seen.startsWith("failure")).hasSize(13);
        mReader.known(5);
        assertThat(mReader.step(true)).isPositive();
        assertThat(mSeen).endsWith("stale 1 5");
    }

    @Test
    public void the_vm_list_is_followed_by_a_running_reader() throws Exception {
        mBodies.put(
                "/v1/vms",
                "{\"version\":4,\"vms\":[{\"name\":\"vm1\",\"address\":\"127.0.0.1\","
                        + "\"peer_port\":7,\"failure_domain\":\"d\",\"region\":\"r\","
                        + "\"state\":\"leaving\"}]}");
        try (PlatformReader reader =
                PlatformReader.start(mClient, mClient, new Recorder(), Clock.system(), SEED)) {
            reader.watching(false);
            assertThat(mVmLists.await(10, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(mSeen).contains("vms 4 [vm1 leaving true]");
    }

    /** Writes down each call as one line. */
    private final class Recorder implements PlatformListener {
        @Override
        public void onConfig(long revision, Map<String, String> values, long askedAtNanos) {
            mSeen.add("config " + revision + " " + values.get("classes") + values.get("domains"));
        }

        @Override
        public void onConfirmed(long revision, long askedAtNanos) {
            mSeen.add("confirmed " + revision);
        }

        @Override
        public void onStale(long revision, long known) {
            mSeen.add("stale " + revision + " " + known);
        }

        @Override
        public void onVmList(VmList list, long askedAtNanos) {
            mSeen.add(
                    "vms %d [%s leaving %s]"
                            .formatted(
                                    list.version(),
                                    list.vms().get(0).name(),
                                    list.vms().get(0).leaving()));
            mVmLists.countDown();
        }

        @Override
        public void onFailure(PlatformException failure) {
            mSeen.add("failure " + failure.detail());
        }
    }
}
