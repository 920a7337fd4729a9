package org.bulrushvale.standin.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.standin.http.HttpEndpoint;
import org.bulrushvale.standin.http.IncomingCall;
import org.bulrushvale.standin.http.Json;
import org.jspecify.annotations.Nullable;

/**
 * A simulated configuration service with the platform's VM list. Tests publish values and set
 * faults with the methods of this class or at {@code /control}.
 *
 * <pre>{@code
 * ConfigService service = ConfigService.builder().values(Path.of("examples/quickstart")).start();
 * service.publish("domains", "[{\"name\":\"a\",\"region\":\"r\",\"in_service\":false}]");
 * }</pre>
 *
 * <p>Invariant: calls outside {@code /control} change nothing; a refused call is counted but has no
 * other effect. Thread safety: safe for use by any thread.
 */
public final class ConfigService implements AutoCloseable {
    private static final String VALUES_PATH = "/v1/values/";
    private static final long MAX_WAIT_MS = 60_000;
    private static final int MAX_VALUE_CHARS = 1 << 20;

    // A long poll that waits for a revision above the given one.
    private record Watch(IncomingCall call, long afterRevision) {}

    private final Clock mClock = Clock.system();
    private final ConfigHistory mHistory;
    private final ConfigFaults mDefaultFaults;
    private final boolean mHaltOnCrash;
    private final RateLimiter mRateLimiter = new RateLimiter();
    private final List<Watch> mWatches = new ArrayList<>();
    private final Map<String, Long> mCounts = new TreeMap<>();
    private final HttpEndpoint mEndpoint;
    private ConfigFaults mFaults;
    private int mPeakWatches;

    private ConfigService(Builder builder) throws IOException {
        mHistory = new ConfigHistory(builder.mValues, builder.mVms, mClock.monotonicNanos());
        mDefaultFaults =
                new ConfigFaults(ConfigFaults.Outage.NONE, 0, 0, false, 0, builder.mRateLimit);
        mFaults = mDefaultFaults;
        mHaltOnCrash = builder.mHaltOnCrash;
        mEndpoint =
                HttpEndpoint.create(
                        "config",
                        new InetSocketAddress(builder.mHost, builder.mPort),
                        this::handle);
    }

    /** Returns a builder of a service without values. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the bound port. */
    public int port() {
        return mEndpoint.port();
    }

    /** Publishes one value and returns the new revision. */
    public long publish(String name, String json) {
        JsonNode value = Json.parse(json.getBytes(StandardCharsets.UTF_8));
        return mEndpoint.callAndWait(() -> publish(Map.of(name, value)));
    }

    /** Publishes a new version of the VM list. */
    public void publishVmList(String json) {
        control("{\"vms\":" + json + "}");
    }

    /**
     * Changes fault settings, publishes values or triggers a crash, as {@code POST /control} does.
     */
    public void control(String json) {
        JsonNode patch = Json.parse(json.getBytes(StandardCharsets.UTF_8));
        mEndpoint.callAndWait(() -> applyControl((ObjectNode) patch));
    }

    /** Returns the counts, as {@code GET /control/stats} does. */
    public JsonNode stats() {
        return mEndpoint.callAndWait(this::statsJson);
    }

    private void handle(IncomingCall call) {
        if (call.path().startsWith("/control")) {
            handleControl(call);
            return;
        }
        count(callKind(call));
        if (!failByOutage(call)) {
            answerWithinRateLimit(call);
        }
    }

    private boolean failByOutage(IncomingCall call) {
        if (mFaults.down() == ConfigFaults.Outage.ERROR) {
            call.respond(503, error("service is down by fault setting"));
        } else if (mFaults.down() == ConfigFaults.Outage.RESET) {
            call.drop();
        } else if (mFaults.down() == ConfigFaults.Outage.SILENT) {
            count("unanswered");
        }
        return mFaults.down() != ConfigFaults.Outage.NONE;
    }

    private static String callKind(IncomingCall call) {
        String path = call.path();
        return path.startsWith(VALUES_PATH) ? "values" : path.substring(path.lastIndexOf('/') + 1);
    }

    private void answerWithinRateLimit(IncomingCall call) {
        if (!mRateLimiter.admit(mClock.monotonicNanos(), mWatches.size(), mFaults.rateLimit())) {
            count("refused_429");
            call.respond(429, error("rate limit exceeded"));
        } else if (mFaults.delayMs() > 0) {
            mEndpoint.schedule(Duration.ofMillis(mFaults.delayMs()), () -> answer(call));
        } else {
            answer(call);
        }
    }

    private void answer(IncomingCall call) {
        String path = call.path();
        if (call.is("GET", "/v1/index")) {
            call.respond(200, servedSnapshot().index());
        } else if (call.is("GET", "/v1/watch")) {
            watch(call);
        } else if (call.is("GET", "/v1/vms")) {
            if (mFaults.vmsDown()) {
                call.respond(503, error("VM list is down by fault setting"));
            } else {
                long lagNanos = Duration.ofMillis(mFaults.vmsLagMs()).toNanos();
                call.respond(200, mHistory.vmList(mClock.monotonicNanos(), lagNanos));
            }
        } else if (call.method().equals("GET") && path.startsWith(VALUES_PATH)) {
            ConfigHistory.Value value =
                    servedSnapshot().values().get(path.substring(VALUES_PATH.length()));
            if (value == null) {
                call.respond(404, error("unknown value"));
            } else {
                String revision = Long.toString(value.revision());
                call.respond(200, value.json(), Map.of("X-Revision", revision));
            }
        } else {
            call.respond(404, error("unknown path or method; the service is read-only"));
        }
    }

    private ConfigHistory.Snapshot servedSnapshot() {
        return mHistory.newestUpTo(mFaults.staleRevision());
    }

    private void watch(IncomingCall call) {
        long afterRevision = call.queryNumber("after", 0);
        long waitMs = Math.min(MAX_WAIT_MS, call.queryNumber("wait_ms", 0));
        if (servedSnapshot().revision() > afterRevision || waitMs <= 0) {
            call.respond(200, servedSnapshot().index());
            return;
        }
        Watch watch = new Watch(call, afterRevision);
        mWatches.add(watch);
        mPeakWatches = Math.max(mPeakWatches, mWatches.size());
        mEndpoint.schedule(
                Duration.ofMillis(waitMs),
                () -> {
                    if (mWatches.remove(watch)) {
                        answerWatch(watch);
                    }
                });
    }

    private void answerWatch(Watch watch) {
        if (!failByOutage(watch.call())) {
            watch.call().respond(200, servedSnapshot().index());
        }
    }

    private void answerDueWatches() {
        boolean resetting = mFaults.down() == ConfigFaults.Outage.RESET;
        long revision = servedSnapshot().revision();
        List<Watch> due =
                mWatches.stream()
                        .filter(watch -> resetting || revision > watch.afterRevision())
                        .toList();
        mWatches.removeAll(due);
        due.forEach(this::answerWatch);
    }

    private long publish(Map<String, JsonNode> changes) {
        changes.forEach(
                (name, json) -> {
                    if (Json.write(json).length() > MAX_VALUE_CHARS) {
                        throw new IllegalArgumentException("value is larger than 1 MB: " + name);
                    }
                });
        long revision = mHistory.publish(changes);
        answerDueWatches();
        return revision;
    }

    private void handleControl(IncomingCall call) {
        if (call.is("GET", "/control")) {
            call.respond(200, mFaults);
        } else if (call.is("POST", "/control")) {
            JsonNode patch = Json.parse(call.body());
            if (!patch.isObject()) {
                throw new IllegalArgumentException("the body must be a JSON object");
            }
            call.respond(200, applyControl((ObjectNode) patch));
        } else if (call.is("GET", "/control/stats")) {
            call.respond(200, statsJson());
        } else {
            call.respond(404, error("unknown path"));
        }
    }

    private JsonNode applyControl(ObjectNode patch) {
        JsonNode changes = patch.remove("publish");
        JsonNode vms = patch.remove("vms");
        JsonNode crash = patch.remove("crash");
        JsonNode restartMs = patch.remove("restart_ms");
        JsonNode reset = patch.remove("reset");
        boolean fromHealthy = reset != null && reset.asBoolean();
        mFaults = Json.merge(fromHealthy ? mDefaultFaults : mFaults, patch, ConfigFaults.class);
        if (vms != null) {
            mHistory.addVmList(vms, mClock.monotonicNanos());
        }
        if (changes != null) {
            Map<String, JsonNode> values = new LinkedHashMap<>();
            changes.properties().forEach(entry -> values.put(entry.getKey(), entry.getValue()));
            publish(values);
        }
        answerDueWatches();
        if (crash != null) {
            crash(crash.asText(), restartMs);
        }
        return Json.object().put("revision", mHistory.newest().revision());
    }

    private void crash(String mode, @Nullable JsonNode restartMs) {
        if (mode.equals("restart")) {
            mWatches.clear();
            mEndpoint.restartAfter(
                    Duration.ofMillis(restartMs == null ? 1000 : restartMs.asLong()));
        } else if (mode.equals("halt") && mHaltOnCrash) {
            // 137 is the exit code of a process that was ended by SIGKILL.
            Runtime.getRuntime().halt(137);
        } else if (mode.equals("halt")) {
            close();
        } else {
            throw new IllegalArgumentException("crash must be halt or restart");
        }
    }

    private void count(String name) {
        mCounts.merge(name, 1L, Long::sum);
    }

    private ObjectNode statsJson() {
        ObjectNode stats =
                Json.object()
                        .put("revision", mHistory.newest().revision())
                        .put("served_revision", servedSnapshot().revision())
                        .put("waiting", mWatches.size())
                        .put("peak_waiting", mPeakWatches)
                        .put("peak_per_second", mRateLimiter.peakPerSecond());
        stats.set("calls", Json.tree(mCounts));
        return stats;
    }

    private static ObjectNode error(String text) {
        return Json.object().put("error", text);
    }

    /** Closes the listener and every connection at once. */
    @Override
    public void close() {
        mEndpoint.close();
    }

    /**
     * Collects the options, the values of revision 1 and the first VM list. Thread safety: not
     * safe; used by one thread.
     */
    public static final class Builder {
        private final Map<String, JsonNode> mValues = new TreeMap<>();
        private JsonNode mVms = Json.tree(new Object[0]);
        private String mHost = "127.0.0.1";
        private int mPort;
        private int mRateLimit = 2000;
        private boolean mHaltOnCrash;

        private String mControl = "{}";

        private Builder() {}

        /** Sets the JSON text of settings to apply before the first connection. */
        public Builder control(String json) {
            mControl = json;
            return this;
        }

        /** Sets the address to bind. */
        public Builder host(String host) {
            mHost = host;
            return this;
        }

        /** Sets the port to bind. */
        public Builder port(int port) {
            mPort = port;
            return this;
        }

        /** Sets the limit of calls per second; each waiting watch counts as a call. */
        public Builder rateLimit(int rateLimit) {
            mRateLimit = rateLimit;
            return this;
        }

        /** Sets whether a halt requested at {@code /control} ends the process. */
        public Builder haltOnCrash(boolean haltOnCrash) {
            mHaltOnCrash = haltOnCrash;
            return this;
        }

        /** Sets one value of the first revision. */
        public Builder value(String name, String json) {
            mValues.put(name, Json.parse(json.getBytes(StandardCharsets.UTF_8)));
            return this;
        }

        /** Sets the first VM list, an array or an object with the array {@code vms}. */
        public Builder vms(String json) {
            mVms = Json.parse(json.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        /**
         * Reads the files of a directory: {@code vms.json} as VM list, each other {@code NAME.json}
         * as the value of that name.
         */
        public Builder values(Path directory) throws IOException {
            List<Path> files;
            try (Stream<Path> entries = Files.list(directory)) {
                files = entries.filter(path -> path.toString().endsWith(".json")).toList();
            }
            for (Path file : files) {
                String fileName = file.toFile().getName();
                String name = fileName.substring(0, fileName.length() - ".json".length());
                if (name.equals("vms")) {
                    vms(Files.readString(file));
                } else {
                    value(name, Files.readString(file));
                }
            }
            return this;
        }

        /** Starts the service with revision 1. */
        public ConfigService start() throws IOException {
            ConfigService service = new ConfigService(this);
            service.control(mControl);
            service.mEndpoint.open();
            return service;
        }
    }
}
