package org.bulrushvale.adapters.settings;

import static org.bulrushvale.adapters.settings.SettingKey.optional;
import static org.bulrushvale.adapters.settings.SettingKey.required;

import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.bulrushvale.adapters.settings.EntrySettings.Backend;
import org.bulrushvale.adapters.settings.EntrySettings.Caller;
import org.bulrushvale.adapters.settings.EntrySettings.Drain;
import org.bulrushvale.adapters.settings.EntrySettings.Entry;
import org.bulrushvale.adapters.settings.EntrySettings.Log;
import org.bulrushvale.adapters.settings.EntrySettings.Operator;
import org.bulrushvale.adapters.settings.EntrySettings.Peer;
import org.bulrushvale.adapters.settings.EntrySettings.Platform;
import org.bulrushvale.adapters.settings.EntrySettings.Routing;
import org.bulrushvale.adapters.settings.EntrySettings.Warmup;

/**
 * Checks a settings file as a whole and reports every fault at once.
 *
 * <pre>{@code
 * SettingsCheck.Result result = SettingsCheck.check(Files.readString(path));
 * result.faults().forEach(System.err::println);
 * }</pre>
 *
 * <p>Invariant: settings are returned only when there is no fault. Values are taken literally, with
 * no variable substitution. Thread safety: stateless.
 */
public final class SettingsCheck {
    private static final SettingKey.Rule MILLIS = SettingKey.range(1, 600_000);
    private static final List<SettingKey> KEYS =
            List.of(
                    required("entry", "vm", SettingKey.identifier()),
                    required("entry", "failure_domain", SettingKey.identifier()),
                    required("entry", "region", SettingKey.identifier()),
                    required("entry", "fleet", SettingKey.identifier()),
                    required("caller", "address", SettingKey.address()),
                    required("caller", "port", SettingKey.port()),
                    optional("caller", "max_body_bytes", "262144", SettingKey.range(1, 8 << 20)),
                    optional("caller", "max_header_bytes", "16384", SettingKey.range(512, 65_536)),
                    optional("caller", "read_timeout_ms", "5000", MILLIS),
                    optional("caller", "max_concurrent", "1024", SettingKey.range(1, 65_536)),
                    optional("caller", "max_streams", "512", SettingKey.range(1, 65_536)),
                    optional("caller", "queue_length", "1024", SettingKey.range(1, 65_536)),
                    required("operator", "address", SettingKey.address()),
                    required("operator", "port", SettingKey.port()),
                    required("operator", "allowed_addresses", SettingKey.addressList()),
                    required("peer", "address", SettingKey.address()),
                    required("peer", "port", SettingKey.port()),
                    SettingKey.secret("peer", "secret"),
                    optional("peer", "peers", "", SettingKey.endpointList()),
                    required("platform", "config_url", SettingKey.httpUrl()),
                    required("platform", "vms_url", SettingKey.httpUrl()),
                    optional("backend", "connect_timeout_ms", "500", MILLIS),
                    optional("backend", "progress_timeout_ms", "2000", MILLIS),
                    optional("backend", "load_interval_ms", "500", MILLIS),
                    optional(
                            "backend",
                            "max_answer_bytes",
                            "4194304",
                            SettingKey.range(1, 64 << 20)),
                    optional("log", "format", "json", SettingKey.oneOf("json", "text")),
                    optional(
                            "log",
                            "level",
                            "INFO",
                            SettingKey.oneOf("ERROR", "WARN", "INFO", "DEBUG")),
                    optional("drain", "readiness_delay_ms", "4000", SettingKey.range(0, 600_000)),
                    optional("drain", "settle_ms", "500", SettingKey.range(0, 600_000)),
                    optional("drain", "grace_ms", "2000", MILLIS),
                    optional("drain", "handover_ms", "5000", MILLIS),
                    optional(
                            "routing",
                            "policy",
                            "power_of_two",
                            SettingKey.oneOf("power_of_two", "round_robin", "least_outstanding")),
                    optional("routing", "warmup", "on", SettingKey.oneOf("on", "off")),
                    optional("warmup", "list_lag_max_ms", "10000", MILLIS),
                    optional("warmup", "longest_deadline_ms", "5000", MILLIS),
                    optional("warmup", "view_age_max_ms", "4000", MILLIS),
                    optional("warmup", "report_age_max_ms", "2000", MILLIS));

    private SettingsCheck() {}

    /**
     * Outcome of a check.
     *
     * <p>Invariant: exactly one of settings and faults is present. Thread safety: immutable.
     */
    public record Result(Optional<EntrySettings> settings, List<SettingsFault> faults) {
        public Result {
            faults = List.copyOf(faults);
        }
    }

    /** Checks the text of a settings file. */
    public static Result check(String text) {
        SettingsTable table = SettingsTable.read(text, KEYS);
        return table.faults().isEmpty()
                ? new Result(Optional.of(build(table)), List.of())
                : new Result(Optional.empty(), table.faults());
    }

    private static EntrySettings build(SettingsTable values) {
        return new EntrySettings(
                new Entry(
                        values.text("entry", "vm"),
                        values.text("entry", "failure_domain"),
                        values.text("entry", "region"),
                        values.text("entry", "fleet")),
                new Caller(
                        values.text("caller", "address"),
                        values.number("caller", "port"),
                        values.number("caller", "max_body_bytes"),
                        values.number("caller", "max_header_bytes"),
                        values.millis("caller", "read_timeout_ms"),
                        values.number("caller", "max_concurrent"),
                        values.number("caller", "max_streams"),
                        values.number("caller", "queue_length")),
                new Operator(
                        values.text("operator", "address"),
                        values.number("operator", "port"),
                        SettingsTable.splitList(values.text("operator", "allowed_addresses"))),
                new Peer(
                        values.text("peer", "address"),
                        values.number("peer", "port"),
                        values.text("peer", "secret"),
                        SettingsTable.splitList(values.text("peer", "peers"))),
                new Platform(
                        URI.create(values.text("platform", "config_url")),
                        URI.create(values.text("platform", "vms_url"))),
                new Backend(
                        values.millis("backend", "connect_timeout_ms"),
                        values.millis("backend", "progress_timeout_ms"),
                        values.millis("backend", "load_interval_ms"),
                        values.number("backend", "max_answer_bytes")),
                new Log(values.text("log", "format").equals("json"), values.text("log", "level")),
                new Drain(
                        values.millis("drain", "readiness_delay_ms"),
                        values.millis("drain", "settle_ms"),
                        values.millis("drain", "grace_ms"),
                        values.millis("drain", "handover_ms")),
                new Routing(
                        values.text("routing", "policy"),
                        values.text("routing", "warmup").equals("on")),
                warmup(values));
    }

    private static Warmup warmup(SettingsTable values) {
        return new Warmup(
                values.millis("warmup", "list_lag_max_ms"),
                values.millis("warmup", "longest_deadline_ms"),
                values.millis("warmup", "view_age_max_ms"),
                values.millis("warmup", "report_age_max_ms"));
    }
}
