package org.bulrushvale.adapters.settings;

import static org.bulrushvale.adapters.settings.SettingKey.optional;
import static org.bulrushvale.adapters.settings.SettingKey.required;

import java.io.IOException;
import java.io.StringReader;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
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
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            String reason = "not an INI file: " + e.getMessage();
            return new Result(Optional.empty(), List.of(new SettingsFault("", "", "", reason)));
        }
        List<SettingsFault> faults = new ArrayList<>();
        Map<SettingKey, String> values = new HashMap<>();
        for (String section : ini.getSections()) {
            readSection(section, ini.getSection(section), values, faults);
        }
        for (SettingKey key : KEYS) {
            checkValue(key, values, faults);
        }
        return faults.isEmpty()
                ? new Result(Optional.of(build(new Values(values))), List.of())
                : new Result(Optional.empty(), faults);
    }

    static List<String> splitList(String value) {
        return Stream.of(value.split(",", -1))
                .map(String::trim)
                .filter(item -> !item.isEmpty())
                .toList();
    }

    private static void readSection(
            String section,
            SubnodeConfiguration content,
            Map<SettingKey, String> values,
            List<SettingsFault> faults) {
        String name = section == null ? "" : section;
        if (KEYS.stream().noneMatch(key -> key.section().equals(name))) {
            faults.add(SettingsFault.unknownSection(name));
            return;
        }
        for (Iterator<String> keys = content.getKeys(); keys.hasNext(); ) {
            String keyName = keys.next();
            Optional<SettingKey> key = find(name, keyName);
            if (key.isEmpty()) {
                faults.add(SettingsFault.unknownKey(name, keyName));
                continue;
            }
            Object value = content.getProperty(keyName);
            if (value instanceof String single) {
                values.put(key.get(), single.trim());
            } else {
                faults.add(SettingsFault.of(key.get(), String.valueOf(value), "given twice"));
            }
        }
    }

    private static Optional<SettingKey> find(String section, String name) {
        return KEYS.stream()
                .filter(key -> key.section().equals(section) && key.name().equals(name))
                .findFirst();
    }

    private static void checkValue(
            SettingKey key, Map<SettingKey, String> values, List<SettingsFault> faults) {
        String value = values.getOrDefault(key, "");
        if (value.isEmpty() && key.defaultValue() != null) {
            values.put(key, key.defaultValue());
            return;
        }
        boolean duplicate =
                faults.stream()
                        .anyMatch(
                                fault ->
                                        fault.section().equals(key.section())
                                                && fault.key().equals(key.name()));
        if (duplicate) {
            return;
        }
        if (value.isEmpty()) {
            faults.add(SettingsFault.of(key, "", "missing"));
            return;
        }
        key.rule().refuse(value).ifPresent(r -> faults.add(SettingsFault.of(key, value, r)));
    }

    private static EntrySettings build(Values values) {
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
                        splitList(values.text("operator", "allowed_addresses"))),
                new Peer(
                        values.text("peer", "address"),
                        values.number("peer", "port"),
                        values.text("peer", "secret"),
                        splitList(values.text("peer", "peers"))),
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

    private static Warmup warmup(Values values) {
        return new Warmup(
                values.millis("warmup", "list_lag_max_ms"),
                values.millis("warmup", "longest_deadline_ms"),
                values.millis("warmup", "view_age_max_ms"),
                values.millis("warmup", "report_age_max_ms"));
    }

    /**
     * Typed access to checked values.
     *
     * <p>Invariant: holds a value for every key. Thread safety: immutable.
     */
    private record Values(Map<SettingKey, String> map) {
        String text(String section, String name) {
            return map.getOrDefault(find(section, name).orElseThrow(), "");
        }

        int number(String section, String name) {
            return Integer.parseInt(text(section, name));
        }

        Duration millis(String section, String name) {
            return Duration.ofMillis(Long.parseLong(text(section, name)));
        }
    }
}
