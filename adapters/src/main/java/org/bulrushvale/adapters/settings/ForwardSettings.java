package org.bulrushvale.adapters.settings;

import static org.bulrushvale.adapters.settings.SettingKey.optional;
import static org.bulrushvale.adapters.settings.SettingKey.required;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.bulrushvale.decision.forward.StageOrder;
import org.bulrushvale.decision.forward.StageStart;

/**
 * Validated settings of the forwarding entry.
 *
 * <pre>{@code
 * ForwardSettings.Result result = ForwardSettings.check(Files.readString(path));
 * result.faults().forEach(System.err::println);
 * }</pre>
 *
 * <p>Thread safety: immutable.
 */
public record ForwardSettings(
        Entry entry,
        Listeners listeners,
        Fleet fleet,
        Limits limits,
        Drain drain,
        Log log,
        Features features) {
    private static final SettingKey.Rule MILLIS = SettingKey.range(1, 600_000);
    private static final SettingKey.Rule SECONDS = SettingKey.decimal(0.001, 86_400);
    private static final SettingKey.Rule DEADLINE_MILLIS = SettingKey.decimal(100, 600_000);
    private static final String ON = "on";
    private static final String OFF = "off";
    private static final SettingKey.Rule SWITCH = SettingKey.oneOf(ON, OFF);
    private static final List<SettingKey> KEYS =
            List.of(
                    required("entry", "vm", SettingKey.identifier()),
                    required("entry", "failure_domain", SettingKey.identifier()),
                    required("entry", "region", SettingKey.identifier()),
                    required("listen", "callers", SettingKey.listenEndpoint()),
                    required("listen", "ready", SettingKey.listenEndpoint()),
                    required("listen", "peers", SettingKey.listenEndpoint()),
                    required("listen", "metrics", SettingKey.listenEndpoint()),
                    required("fleet", "name", SettingKey.identifier()),
                    SettingKey.secret("fleet", "secret"),
                    optional("fleet", "seeds", "", SettingKey.endpointList()),
                    required("store", "address", SettingKey.endpoint()),
                    optional("store", "lapse_ms", "1800", MILLIS),
                    optional("store", "config_deadline_ms", "2000", DEADLINE_MILLIS),
                    optional("store", "drain_deadline_ms", "2000", DEADLINE_MILLIS),
                    optional("limits", "max_header_bytes", "16384", SettingKey.range(512, 65_536)),
                    optional("limits", "max_body_bytes", "4194304", SettingKey.range(1, 64 << 20)),
                    optional("limits", "read_timeout_ms", "10000", MILLIS),
                    optional("limits", "idle_timeout_ms", "60000", MILLIS),
                    optional("limits", "connect_timeout_ms", "400", MILLIS),
                    optional("limits", "max_concurrent", "1500", SettingKey.range(1, 65_536)),
                    optional("limits", "repeat_ratio", "0.2", SettingKey.decimal(0, 100)),
                    optional("limits", "repeat_slack", "50", SettingKey.decimal(0, 1e9)),
                    optional("limits", "repeat_window_s", "10", SECONDS),
                    optional("drain", "unready_ms", "2600", MILLIS),
                    optional("drain", "grace_s", "8", SECONDS),
                    optional(
                            "log",
                            "level",
                            "INFO",
                            SettingKey.oneOf("ERROR", "WARN", "INFO", "DEBUG")),
                    optional("log", "lines_per_second", "200", SettingKey.range(1, 100_000)),
                    optional("features", "min_servers", "0", SettingKey.range(0, 1_000_000)),
                    optional("admission", "patience", OFF, SWITCH),
                    optional("admission", "urgency", OFF, SWITCH),
                    optional("admission", "queue", OFF, SWITCH),
                    optional(
                            "admission",
                            "order",
                            "deadline_first",
                            SettingKey.oneOf("deadline_first", "rank_first")),
                    optional("admission", "return_times", OFF, SWITCH),
                    optional("admission", "fair_shares", OFF, SWITCH),
                    optional("placement", "policy", "affinity", nameOf(PlacementPolicy.values())),
                    optional("placement", "probes", "0", SettingKey.range(0, 2)),
                    optional("vm", "cpu_share", "1", SettingKey.decimal(0, 1)),
                    optional("vm", "core_count", "0", SettingKey.decimal(0, 4_096)),
                    optional("vm", "memory_mb", "0", SettingKey.decimal(0, 1 << 24)),
                    optional("vm", "link_mbps", "0", SettingKey.decimal(0, 1e6)),
                    optional("vm", "shed_load", OFF, SWITCH),
                    optional("stages", "collector_vms", "any", nameOf(CollectorVms.values())),
                    optional("stages", "start", "early", nameOf(StageStart.values())),
                    optional(
                            "stages",
                            "release_inputs",
                            "after_call",
                            nameOf(InputRelease.values())),
                    optional("duplicates", "limit", "0", SettingKey.decimal(0, 100)),
                    optional("duplicates", "classes", "", value -> Optional.empty()));

    /** Parses and validates the text of a settings file. */
    public static Result check(String text) {
        SettingsTable table = SettingsTable.read(text, KEYS);
        return table.faults().isEmpty()
                ? new Result(Optional.of(build(table)), List.of())
                : new Result(Optional.empty(), table.faults());
    }

    private static ForwardSettings build(SettingsTable table) {
        return new ForwardSettings(
                new Entry(
                        table.text("entry", "vm"),
                        table.text("entry", "failure_domain"),
                        table.text("entry", "region")),
                new Listeners(
                        table.endpoint("listen", "callers"),
                        table.endpoint("listen", "ready"),
                        table.endpoint("listen", "peers"),
                        table.endpoint("listen", "metrics")),
                new Fleet(
                        table.text("fleet", "name"),
                        table.text("fleet", "secret"),
                        table.endpoints("fleet", "seeds"),
                        table.endpoint("store", "address"),
                        table.millis("store", "lapse_ms"),
                        shorter(
                                table.decimalMillis("store", "config_deadline_ms"),
                                table.decimalMillis("store", "drain_deadline_ms"))),
                new Limits(
                        table.number("limits", "max_header_bytes"),
                        table.number("limits", "max_body_bytes"),
                        table.millis("limits", "read_timeout_ms"),
                        table.millis("limits", "idle_timeout_ms"),
                        table.millis("limits", "connect_timeout_ms"),
                        table.number("limits", "max_concurrent"),
                        table.decimal("limits", "repeat_ratio"),
                        table.decimal("limits", "repeat_slack"),
                        table.seconds("limits", "repeat_window_s")),
                new Drain(table.millis("drain", "unready_ms"), table.seconds("drain", "grace_s")),
                new Log(table.text("log", "level"), table.number("log", "lines_per_second")),
                buildFeatures(table));
    }

    private static Features buildFeatures(SettingsTable table) {
        return new Features(
                table.number("features", "min_servers"),
                new Admission(
                        isOn(table, "patience"),
                        isOn(table, "urgency"),
                        isOn(table, "queue"),
                        valueOf(StageOrder.class, table.text("admission", "order")),
                        isOn(table, "return_times"),
                        isOn(table, "fair_shares")),
                new Placement(
                        valueOf(PlacementPolicy.class, table.text("placement", "policy")),
                        table.number("placement", "probes")),
                new Vm(
                        table.decimal("vm", "cpu_share") * table.decimal("vm", "core_count"),
                        table.decimal("vm", "memory_mb"),
                        table.decimal("vm", "link_mbps"),
                        table.text("vm", "shed_load").equals(ON)),
                new Stages(
                        valueOf(CollectorVms.class, table.text("stages", "collector_vms")),
                        valueOf(StageStart.class, table.text("stages", "start")),
                        valueOf(InputRelease.class, table.text("stages", "release_inputs"))),
                new Duplicates(
                        table.decimal("duplicates", "limit"),
                        SettingsTable.splitList(table.text("duplicates", "classes"))));
    }

    private static boolean isOn(SettingsTable table, String name) {
        return table.text("admission", name).equals(ON);
    }

    private static SettingKey.Rule nameOf(Enum<?>... values) {
        return SettingKey.oneOf(
                Arrays.stream(values).map(ForwardSettings::settingName).toArray(String[]::new));
    }

    private static String settingName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static <E extends Enum<E>> E valueOf(Class<E> type, String name) {
        return Enum.valueOf(type, name.toUpperCase(Locale.ROOT));
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }

    /**
     * Result of a validation.
     *
     * <p>Invariant: settings are present only when there are no faults. Thread safety: immutable.
     */
    public record Result(Optional<ForwardSettings> settings, List<SettingsFault> faults) {
        public Result {
            faults = List.copyOf(faults);
        }
    }

    /**
     * Location of the process: its VM, failure domain and region.
     *
     * <p>Thread safety: immutable.
     */
    public record Entry(String vm, String failureDomain, String region) {}

    /**
     * Addresses that the process listens on.
     *
     * <p>Thread safety: immutable.
     */
    public record Listeners(
            InetSocketAddress callers,
            InetSocketAddress ready,
            InetSocketAddress peers,
            InetSocketAddress metrics) {}

    /**
     * The fleet and the store of published state.
     *
     * <p>Thread safety: immutable.
     *
     * @param seeds addresses of members to contact first; a seed may be stale or down
     * @param vanishedServerRetention time for which servers that vanished during an outage of the
     *     store are retained
     * @param freshness time within which a published change must take effect
     */
    public record Fleet(
            String name,
            String secret,
            List<InetSocketAddress> seeds,
            InetSocketAddress store,
            Duration vanishedServerRetention,
            Duration freshness) {
        public Fleet {
            seeds = List.copyOf(seeds);
        }

        /** Leaves the secret out. */
        @Override
        public String toString() {
            return "Fleet[name=" + name + ", seeds=" + seeds + ", store=" + store + "]";
        }
    }

    /**
     * Limits on the requests of one process.
     *
     * <p>Thread safety: immutable.
     *
     * @param repeatRatio retries and hedges that are allowed for each request in the window
     * @param repeatSlack retries and hedges that the whole fleet may send in the window in addition
     * @param repeatWindow window over which requests, retries and hedges are counted
     */
    public record Limits(
            int maxHeaderBytes,
            int maxBodyBytes,
            Duration readTimeout,
            Duration idleTimeout,
            Duration connectTimeout,
            int maxConcurrent,
            double repeatRatio,
            double repeatSlack,
            Duration repeatWindow) {}

    /**
     * Time limits of a graceful shutdown.
     *
     * <p>Thread safety: immutable.
     *
     * @param unreadyDelay time after which the load balancer sends no new requests to an unready
     *     entry
     * @param grace time that the process has before it is killed
     */
    public record Drain(Duration unreadyDelay, Duration grace) {}

    /**
     * Level and rate limit of the log.
     *
     * <p>Thread safety: immutable.
     *
     * @param linesPerSecond maximum number of lines per second; excess lines are counted and
     *     dropped
     */
    public record Log(String level, int linesPerSecond) {}

    /**
     * Features that a deployment switches on; all are off by default.
     *
     * <p>Thread safety: immutable.
     *
     * @param minServers published backend servers from which admission and placement apply. With
     *     few servers for each stage a forecast is too coarse: one call is a large part of the
     *     capacity.
     */
    public record Features(
            int minServers,
            Admission admission,
            Placement placement,
            Vm vm,
            Stages stages,
            Duplicates duplicates) {
        /**
         * Returns the features that apply where so many backend servers are published: admission
         * and placement are off below the minimum.
         */
        public Features forServers(int servers) {
            return servers >= minServers
                    ? this
                    : new Features(
                            minServers, Admission.OFF, Placement.OFF, vm, stages, duplicates);
        }
    }

    /**
     * How requests are admitted, queued and refused.
     *
     * <p>Thread safety: immutable.
     *
     * @param patience true to end the time before the first event of a stream when its caller
     *     leaves
     * @param urgency true to state the urgency of a request to model servers
     * @param queue true to admit and order stage work by the forecast start
     * @param order order of the queue
     * @param returnTimes true to derive the return time of a refused caller from the queue
     * @param fairShares true to divide a service that is short of capacity among workspaces
     */
    public record Admission(
            boolean patience,
            boolean urgency,
            boolean queue,
            StageOrder order,
            boolean returnTimes,
            boolean fairShares) {
        static final Admission OFF =
                new Admission(false, false, false, StageOrder.TARGET_FIRST, false, false);
    }

    /**
     * How the backend server of a request is chosen.
     *
     * <p>Thread safety: immutable.
     *
     * @param probes servers that are asked for their load before a request is sent
     */
    public record Placement(PlacementPolicy policy, int probes) {
        static final Placement OFF = new Placement(PlacementPolicy.AFFINITY, 0);
    }

    /** Policies for the choice of a backend server. */
    public enum PlacementPolicy {
        /** By the affinity of the prompt, unless that server is clearly busier than others. */
        AFFINITY,
        /** By the expected time to the first event. */
        EXPECTED_COMPLETION
    }

    /**
     * Size of the VM, 0 for figures that are not known, and what an overloaded entry does.
     *
     * <p>Thread safety: immutable.
     *
     * @param cores share of the CPU time multiplied by the number of cores
     * @param linkMbps bandwidth of the network link in Mbit/s
     * @param shedLoad true to hand work over to other entries while this one is overloaded
     */
    public record Vm(double cores, double memoryMb, double linkMbps, boolean shedLoad) {
        /**
         * Returns the capacity by which VMs are compared: the smaller of the cores in hundredths
         * and the link in Mbit/s, at least 1; 0 if one of them is unknown.
         */
        public int capacity() {
            if (cores <= 0 || linkMbps <= 0) {
                return 0;
            }
            return Math.max(1, (int) Math.round(Math.min(100 * cores, linkMbps)));
        }
    }

    /**
     * How the stages of requests are run.
     *
     * <p>Thread safety: immutable.
     *
     * @param collectorVms which members may collect the pieces of a stage service
     * @param start when a stage with available inputs starts
     * @param inputRelease when the inputs of a stage are released
     */
    public record Stages(CollectorVms collectorVms, StageStart start, InputRelease inputRelease) {}

    /** When the results that a stage reads are released at the servers that made them. */
    public enum InputRelease {
        /** When the stage is done. */
        AFTER_CALL,
        /** When the servers have read them. */
        AFTER_READ
    }

    /** Which VMs may collect pieces. */
    public enum CollectorVms {
        /** All VMs. */
        ANY,
        /** VMs with at least half of the largest capacity in the fleet. */
        STRONG
    }

    /**
     * Second attempts of requests that are slower than most.
     *
     * <p>Thread safety: immutable.
     *
     * @param limitPercent extra work that is allowed, in percent; 0 sends no duplicates
     * @param classes names of the routes whose requests may be duplicated; empty for all
     */
    public record Duplicates(double limitPercent, List<String> classes) {
        public Duplicates {
            classes = List.copyOf(classes);
        }
    }
}
