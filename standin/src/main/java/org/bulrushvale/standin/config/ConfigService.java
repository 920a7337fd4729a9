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
 * The platform's configuration service and VM list; {@code /control} plays the operators.
 *
 * <pre>{@code
 * ConfigService service = ConfigService.builder().values(Path.of("examples/quickstart")).start();
 * service.publish("domains", "[{\"name\":\"a\",\"region\":\"r\",\"in_service\":false}]");
 * }</pre>
 *
 * <p>Invariant: readers cannot change anything; a refused call is counted but has no other effect.
 * Thread safety: safe for use by any thread.
 */
public final class ConfigService implements AutoCloseable {
    private static final String VALUES = "/v1/values/";
    private static final long MAX_WAIT_MS = 60_000;
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private record Watch(IncomingCall call, long after) {}

    private final Clock mClock = Clock.system();
    private final ConfigHistory mHistory;
    private final ConfigFaults mHealthy;
    private final boolean mHaltOnCrash;
    private final RateLimit mRate = new RateLimit();
    private final List<Watch> mWatches = new ArrayList<>();
    private final Map<String, Long> mCounts = new TreeMap<>();
    private final HttpEndpoint mEndpoint;
    private ConfigFaults mFaults;
    private int mPeakWaiting;

    private ConfigService(Builder builder) throws IOException {
        mHistory = new ConfigHistory(builder.mValues, builder.mVms, mClock.monotonicNanos());
        mHealthy = new ConfigFaults(ConfigFaults.Outage.NONE, 0, 0, false, 0, builder.mRateLimit);
        mFaults = mHealthy;
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

    /** Replaces the VM list. */
    public void vms(String json) {
        control("{\"vms\":" + json + "}");
    }

    /** Applies settings, as {@code POST /control} does. */
    public void control(String json) {
        JsonNode patch = Json.parse(json.getBytes(StandardCharsets.UTF_8));
        mEndpoint.callAndWait(() -> apply((ObjectNode) patch));
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
        count(kind(call));
        if (!failed(call)) {
            admit(call);
        }
    }

    private boolean failed(IncomingCall call) {
        if (mFaults.down() == ConfigFaults.Outage.ERROR) {
            call.respond(503, error("down by fault setting"));
        } else if (mFaults.down() == ConfigFaults.Outage.RESET) {
            call.drop();
        } else if (mFaults.down() == ConfigFaults.Outage.SILENT) {
            count("unanswered");
        }
        return mFaults.down() != ConfigFaults.Outage.NONE;
    }

    private static String kind(IncomingCall call) {
        String path = call.path();
        return path.startsWith(VALUES) ? "values" : path.substring(path.lastIndexOf('/') + 1);
    }

    private void admit(IncomingCall call) {
        if (!mRate.admit(mClock.monotonicNanos(), mWatches.size(), mFaults.rateLimit())) {
            count("refused_429");
            call.respond(429, error("rate limit"));
        } else if (mFaults.delayMs() > 0) {
            mEndpoint.schedule(Duration.ofMillis(mFaults.delayMs()), () -> answer(call));
        } else {
            answer(call);
        }
    }

    private void answer(IncomingCall call) {
        String path = call.path();
        if (call.is("GET", "/v1/index")) {
            call.respond(200, served().index());
        } else if (call.is("GET", "/v1/watch")) {
            watch(call);
        } else if (call.is("GET", "/v1/vms")) {
            if (mFaults.vmsDown()) {
                call.respond(503, error("VM list down by fault setting"));
            } else {
                long lag = Duration.ofMillis(mFaults.vmsLagMs()).toNanos();
                call.respond(200, mHistory.vms(mClock.monotonicNanos(), lag));
            }
        } else if (call.method().equals("GET") && path.startsWith(VALUES)) {
            ConfigHistory.Value value = served().values().get(path.substring(VALUES.length()));
            if (value == null) {
                call.respond(404, error("unknown value"));
            } else {
                String revision = Long.toString(value.revision());
                call.respond(200, value.json(), Map.of("X-Revision", revision));
            }
        } else {
            call.respond(404, error("unknown path; the service can only be read"));
        }
    }

    private ConfigHistory.Snapshot served() {
        return mHistory.at(mFaults.staleRevision());
    }

    private void watch(IncomingCall call) {
        long after = call.queryNumber("after", 0);
        long wait = Math.min(MAX_WAIT_MS, call.queryNumber("wait_ms", 0));
        if (served().revision() > after || wait <= 0) {
            call.respond(200, served().index());
            return;
        }
        Watch watch = new Watch(call, after);
        mWatches.add(watch);
        mPeakWaiting = Math.max(mPeakWaiting, mWatches.size());
        mEndpoint.schedule(
                Duration.ofMillis(wait),
                () -> {
                    if (mWatches.remove(watch)) {
                        end(watch);
                    }
                });
    }

    private void end(Watch watch) {
        if (!failed(watch.call())) {
            watch.call().respond(200, served().index());
        }
    }

    private void endWatches() {
        boolean down = mFaults.down() == ConfigFaults.Outage.RESET;
        long revision = served().revision();
        List<Watch> due =
                mWatches.stream().filter(watch -> down || revision > watch.after()).toList();
        mWatches.removeAll(due);
        due.forEach(this::end);
    }

    private long publish(Map<String, JsonNode> changes) {
        changes.forEach(
                (name, json) -> {
                    if (Json.write(json).length() > MAX_VALUE_BYTES) {
                        throw new IllegalArgumentException("value above 1 MB: " + name);
                    }
                });
        long revision = mHistory.publish(changes);
        endWatches();
        return revision;
    }

    private void handleControl(IncomingCall call) {
        if (call.is("GET", "/control")) {
            call.respond(200, mFaults);
        } else if (call.is("POST", "/control")) {
            JsonNode patch = Json.parse(call.body());
            if (!patch.isObject()) {
                throw new IllegalArgumentException("a JSON object is needed");
            }
            call.respond(200, apply((ObjectNode) patch));
        } else if (call.is("GET", "/control/stats")) {
            call.respond(200, statsJson());
        } else {
            call.respond(404, error("unknown path"));
        }
    }

    private JsonNode apply(ObjectNode patch) {
        JsonNode changes = patch.remove("publish");
        JsonNode vms = patch.remove("vms");
        JsonNode crash = patch.remove("crash");
        JsonNode restart = patch.remove("restart_ms");
        JsonNode reset = patch.remove("reset");
        boolean fromHealthy = reset != null && reset.asBoolean();
        mFaults = Json.merge(fromHealthy ? mHealthy : mFaults, patch, ConfigFaults.class);
        if (vms != null) {
            mHistory.addVms(vms, mClock.monotonicNanos());
        }
        if (changes != null) {
            Map<String, JsonNode> values = new LinkedHashMap<>();
            changes.properties().forEach(entry -> values.put(entry.getKey(), entry.getValue()));
            publish(values);
        }
        endWatches();
        if (crash != null) {
            crash(crash.asText(), restart);
        }
        return Json.object().put("revision", mHistory.newest().revision());
    }

    private void crash(String how, @Nullable JsonNode restart) {
        if (how.equals("restart")) {
            mWatches.clear();
            mEndpoint.restartAfter(Duration.ofMillis(restart == null ? 1000 : restart.asLong()));
        } else if (how.equals("halt") && mHaltOnCrash) {
            Runtime.getRuntime().halt(137);
        } else if (how.equals("halt")) {
            close();
        } else {
            throw new IllegalArgumentException("crash is halt or restart");
        }
    }

    private void count(String name) {
        mCounts.merge(name, 1L, Long::sum);
    }

    private ObjectNode statsJson() {
        ObjectNode stats =
                Json.object()
                        .put("revision", mHistory.newest().revision())
                        .put("served_revision", served().revision())
                        .put("waiting", mWatches.size())
                        .put("peak_waiting", mPeakWaiting)
                        .put("peak_per_second", mRate.peak());
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

    /** Collects the first values. Thread safety: not safe; used by one thread. */
    public static final class Builder {
        private final Map<String, JsonNode> mValues = new TreeMap<>();
        private JsonNode mVms = Json.tree(new Object[0]);
        private String mHost = "127.0.0.1";
        private int mPort;
        private int mRateLimit = 2000;
        private boolean mHaltOnCrash;

        private String mControl = "{}";

        private Builder() {}

        /** Sets faults that are in force before the first connection. */
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

        /** Sets the calls per second, with waiting watches. */
        public Builder rateLimit(int rateLimit) {
            mRateLimit = rateLimit;
            return this;
        }

        /** Makes a requested crash end the process. */
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

        /** Reads {@code vms.json} as VM list and each other {@code NAME.json} as value. */
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
