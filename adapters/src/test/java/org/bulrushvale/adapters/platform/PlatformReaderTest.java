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

/**
 * Guards against values of different revisions that are delivered together, unnecessary calls, and
 * a reader that stops when the service fails.
 */
public class PlatformReaderTest {
    private static final long SEED = 31L;

    private final Map<String, String> mBodies = new ConcurrentHashMap<>();
    private final Map<String, String> mRevisions = new ConcurrentHashMap<>();
    private final List<String> mRequestedPaths = new CopyOnWriteArrayList<>();
    private final List<String> mCallbacks = new CopyOnWriteArrayList<>();
    private volatile int mStatus;
    private volatile CountDownLatch mVmListRead = new CountDownLatch(1);
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
        mReader = new ConfigReader(mClient, new RecordingListener(), Clock.system(), SEED);
        publish(1, 1, 1);
    }

    @AfterMethod
    public void stop() {
        mServer.stop();
        mRequestedPaths.clear();
        mCallbacks.clear();
    }

    private void publish(long revision, long classes, long domains) {
        String index =
                "{\"revision\":%d,\"values\":{\"classes\":%d,\"domains\":%d}}"
                        .formatted(revision, classes, domains);
        mBodies.put("/v1/index", index);
        mBodies.put("/v1/watch", index);
        publishValue("classes", classes);
        publishValue("domains", domains);
    }

    private void publishValue(String name, long revision) {
        mBodies.put("/v1/values/" + name, "[" + revision + "]");
        mRevisions.put("/v1/values/" + name, Long.toString(revision));
    }

    private void handle(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        mRequestedPaths.add(path);
        exchange.setStatusCode(mStatus);
        exchange.getResponseHeaders()
                .put(new HttpString("X-Revision"), mRevisions.getOrDefault(path, ""));
        exchange.getResponseSender().send(mBodies.getOrDefault(path, ""));
    }

    @Test
    public void only_changed_values_are_fetched_and_every_call_is_counted() throws Exception {
        mReader.poll(true);
        publish(2, 1, 2);
        mReader.poll(true);
        mReader.poll(true);
        assertThat(mCallbacks).containsExactly("config 1 [1][1]", "config 2 [1][2]", "confirmed 2");
        assertThat(mRequestedPaths)
                .containsOnlyOnce("/v1/values/classes")
                .filteredOn("/v1/values/domains"::equals)
                .hasSize(2);
        assertThat(mClient.calls()).isEqualTo(mRequestedPaths.size()).isEqualTo(6);
    }

    @Test
    public void values_newer_than_the_index_are_not_delivered_as_its_revision() throws Exception {
        publishValue("domains", 2);
        assertThat(mReader.poll(true)).isPositive();
        assertThat(mCallbacks).allMatch(callback -> callback.startsWith("failure")).hasSize(1);
        publish(2, 1, 2);
        mReader.poll(true);
        assertThat(mCallbacks).contains("config 2 [1][2]");
    }

    @Test
    public void errors_and_invalid_responses_back_off_and_a_stale_service_is_reported()
            throws Exception {
        mStatus = 429;
        Duration firstPause = mReader.poll(true);
        Duration lastPause = Duration.ZERO;
        for (int i = 0; i < 10; i++) {
            lastPause = mReader.poll(true);
        }
        assertThat(firstPause).isBetween(Duration.ofMillis(100), Duration.ofMillis(200));
        assertThat(lastPause).isBetween(Duration.ofMillis(1_500), Duration.ofSeconds(3));
        mStatus = 200;
        mBodies.put("/v1/index", "{\"revision\":");
        assertThat(mReader.poll(true)).isPositive();
        mBodies.put("/v1/index", " ".repeat((1 << 20) + 1));
        assertThat(mReader.poll(true)).isPositive();
        assertThat(mCallbacks).allMatch(callback -> callback.startsWith("failure")).hasSize(13);
        mReader.noteRevision(5);
        assertThat(mReader.poll(true)).isPositive();
        assertThat(mCallbacks).endsWith("stale 1 5");
    }

    @Test
    public void a_running_reader_delivers_the_vm_list() throws Exception {
        mBodies.put(
                "/v1/vms",
                "{\"version\":4,\"vms\":[{\"name\":\"vm1\",\"address\":\"127.0.0.1\","
                        + "\"peer_port\":7,\"failure_domain\":\"d\",\"region\":\"r\","
                        + "\"state\":\"leaving\"}]}");
        try (PlatformReader reader =
                PlatformReader.start(
                        mClient, mClient, new RecordingListener(), Clock.system(), SEED)) {
            reader.setWatching(false);
            assertThat(mVmListRead.await(10, TimeUnit.SECONDS)).isTrue();
        }
        assertThat(mCallbacks).contains("vms 4 [vm1 leaving true]");
    }

    /** Records each callback as one line. */
    private final class RecordingListener implements PlatformListener {
        @Override
        public void onConfig(long revision, Map<String, String> values, long askedAtNanos) {
            mCallbacks.add(
                    "config " + revision + " " + values.get("classes") + values.get("domains"));
        }

        @Override
        public void onConfirmed(long revision, long askedAtNanos) {
            mCallbacks.add("confirmed " + revision);
        }

        @Override
        public void onStale(long revision, long known) {
            mCallbacks.add("stale " + revision + " " + known);
        }

        @Override
        public void onVmList(VmList list, long askedAtNanos) {
            mCallbacks.add(
                    "vms %d [%s leaving %s]"
                            .formatted(
                                    list.version(),
                                    list.vms().get(0).name(),
                                    list.vms().get(0).leaving()));
            mVmListRead.countDown();
        }

        @Override
        public void onFailure(PlatformException failure) {
            mCallbacks.add("failure " + failure.detail());
        }
    }
}
