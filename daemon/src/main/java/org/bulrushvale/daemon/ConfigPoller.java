package org.bulrushvale.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.bulrushvale.kernel.event.EventLoop;
import org.jboss.logging.Logger;

/**
 * Reads the published configuration and keeps watching it.
 *
 * <p>Invariant: offers a revision only when all its values belong to one index. Thread safety: runs
 * on its own thread; {@link #close} may be called from any thread.
 */
final class ConfigPoller implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ConfigPoller.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;
    private static final long WATCH_MS = 1_000;
    private static final long RETRY_MS = 250;

    private final String mBase;
    private final EventLoop mLoop;
    private final EntryCore mCore;
    private final Thread mThread;
    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(1))
                    .build();
    private volatile boolean mClosed;
    private long mRevision = -1;

    private ConfigPoller(URI base, EventLoop loop, EntryCore core) {
        String text = base.toString();
        mBase = text.endsWith("/") ? text.substring(0, text.length() - 1) : text;
        mLoop = loop;
        mCore = core;
        mThread = new Thread(this::run, "config-poller");
        mThread.setDaemon(true);
    }

    static ConfigPoller start(URI base, EventLoop loop, EntryCore core) {
        ConfigPoller poller = new ConfigPoller(base, loop, core);
        poller.mThread.start();
        return poller;
    }

    @Override
    public void close() {
        mClosed = true;
        mThread.interrupt();
    }

    private void run() {
        while (!mClosed) {
            try {
                poll();
            } catch (IOException e) {
                LOG.debugf("configuration service: %s", e.getMessage());
                pause();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void pause() {
        try {
            Thread.sleep(RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void poll() throws IOException, InterruptedException {
        String path =
                mRevision < 0
                        ? "/v1/index"
                        : "/v1/watch?after=" + mRevision + "&wait_ms=" + WATCH_MS;
        JsonNode index = JSON.readTree(fetch(path));
        long revision = index.path("revision").asLong(-1);
        Map<String, String> values = new HashMap<>();
        for (Iterator<String> names = index.path("values").fieldNames(); names.hasNext(); ) {
            String name = names.next();
            values.put(name, fetch("/v1/values/" + name));
        }
        mRevision = revision;
        mLoop.execute(() -> mCore.offerConfig(revision, values));
    }

    private String fetch(String path) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(mBase + path))
                        .timeout(Duration.ofSeconds(3))
                        .build();
        HttpResponse<String> response = mClient.send(request, HttpResponse.BodyHandlers.ofString());
        if (response.statusCode() != OK) {
            throw new IOException("status " + response.statusCode() + " for " + path);
        }
        return response.body();
    }
}
