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
 * Validates a settings file and reports all of its faults at once.
 *
 * <pre>{@code
 * SettingsCheck.Result result = SettingsCheck.check(Files.readString(path));
 * result.faults().forEach(System.err::println);
 * }</pre>
 *
 * <p>Invariant: settings are returned only when there are no faults. Values are used literally,
 * without variable substitution. Thread safety: stateless.
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
     * Result of a validation.
     *
     * <p>Invariant: exactly one of settings and faults is present. Thread safety: immutable.
     */
    public record Result(Optional<EntrySettings> settings, List<SettingsFault> faults) {
        public Result {
            faults = List.copyOf(faults);
        }
    }

    /** Parses and validates the text of a settings file. */
    public static Result check(String text) {
        SettingsTable table = SettingsTable.read(text, KEYS);
        return table.faults().isEmpty()
                ? new Result(Optional.of(build(table)), List.of())
                : new Result(Optional.empty(), table.faults());
    }

    private static EntrySettings build(SettingsTable table) {
        return new EntrySettings(
                new Entry(
                        table.text("entry", "vm"),
                        table.text("entry", "failure_domain"),
                        table.text("entry", "region"),
                        table.text("entry", "fleet")),
                new Caller(
                        table.text("caller", "address"),
                        table.number("caller", "port"),
                        table.number("caller", "max_body_bytes"),
                        table.number("caller", "max_header_bytes"),
                        table.millis("caller", "read_timeout_ms"),
                        table.number("caller", "max_concurrent"),
                        table.number("caller", "max_streams"),
                        table.number("caller", "queue_length")),
                new Operator(
                        table.text("operator", "address"),
                        table.number("operator", "port"),
                        SettingsTable.splitList(table.text("operator", "allowed_addresses"))),
                new Peer(
                        table.text("peer", "address"),
                        table.number("peer", "port"),
                        table.text("peer", "secret"),
                        SettingsTable.splitList(table.text("peer", "peers"))),
                new Platform(
                        URI.create(table.text("platform", "config_url")),
                        URI.create(table.text("platform", "vms_url"))),
                new Backend(
                        table.millis("backend", "connect_timeout_ms"),
                        table.millis("backend", "progress_timeout_ms"),
                        table.millis("backend", "load_interval_ms"),
                        table.number("backend", "max_answer_bytes")),
                new Log(table.text("log", "format").equals("json"), table.text("log", "level")),
                new Drain(
                        table.millis("drain", "readiness_delay_ms"),
                        table.millis("drain", "settle_ms"),
                        table.millis("drain", "grace_ms"),
                        table.millis("drain", "handover_ms")),
                new Routing(
                        table.text("routing", "policy"),
                        table.text("routing", "warmup").equals("on")),
                warmup(table));
    }

    private static Warmup warmup(SettingsTable table) {
        return new Warmup(
                table.millis("warmup", "list_lag_max_ms"),
                table.millis("warmup", "longest_deadline_ms"),
                table.millis("warmup", "view_age_max_ms"),
                table.millis("warmup", "report_age_max_ms"));
    }
}
