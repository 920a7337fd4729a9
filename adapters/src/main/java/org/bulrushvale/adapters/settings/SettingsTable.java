package org.bulrushvale.adapters.settings;

import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;

/**
 * The values of a settings file, validated against a list of keys.
 *
 * <p>Invariant: when there are no faults, every key has a value. Values are used literally, without
 * variable substitution. Thread safety: immutable after {@link #read}.
 */
final class SettingsTable {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;

    private final List<SettingKey> mKeys;

    // By identity: the generated hash code of a record is linked at runtime, which takes some 20 ms
    // of a start.
    private final Map<SettingKey, String> mValues = new IdentityHashMap<>();
    private final List<SettingsFault> mFaults = new ArrayList<>();

    private SettingsTable(List<SettingKey> keys) {
        mKeys = keys;
    }

    /** Reads the text of a settings file and collects all faults. */
    static SettingsTable read(String text, List<SettingKey> keys) {
        SettingsTable table = new SettingsTable(keys);
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (ConfigurationException | IOException e) {
            String reason = "text is not an INI file: " + e.getMessage();
            table.mFaults.add(new SettingsFault("", "", "", reason));
            return table;
        }
        for (String section : ini.getSections()) {
            table.readSection(section, ini.getSection(section));
        }
        keys.forEach(table::checkValue);
        return table;
    }

    List<SettingsFault> faults() {
        return List.copyOf(mFaults);
    }

    static List<String> splitList(String value) {
        return Stream.of(value.split(",", -1))
                .map(String::trim)
                .filter(item -> !item.isEmpty())
                .toList();
    }

    private void readSection(String section, SubnodeConfiguration content) {
        String name = section == null ? "" : section;
        if (mKeys.stream().noneMatch(key -> key.section().equals(name))) {
            mFaults.add(SettingsFault.unknownSection(name));
            return;
        }
        for (Iterator<String> keys = content.getKeys(); keys.hasNext(); ) {
            String keyName = keys.next();
            Optional<SettingKey> key = findKey(name, keyName);
            if (key.isEmpty()) {
                mFaults.add(SettingsFault.unknownKey(name, keyName));
                continue;
            }
            Object value = content.getProperty(keyName);
            if (value instanceof String single) {
                mValues.put(key.get(), single.trim());
            } else {
                mFaults.add(
                        SettingsFault.of(
                                key.get(), String.valueOf(value), "key is given more than once"));
            }
        }
    }

    private Optional<SettingKey> findKey(String section, String name) {
        return mKeys.stream()
                .filter(key -> key.section().equals(section) && key.name().equals(name))
                .findFirst();
    }

    private void checkValue(SettingKey key) {
        String value = mValues.getOrDefault(key, "");
        if (value.isEmpty() && key.defaultValue() != null) {
            mValues.put(key, key.defaultValue());
            return;
        }
        boolean alreadyReported =
                mFaults.stream()
                        .anyMatch(
                                fault ->
                                        fault.section().equals(key.section())
                                                && fault.key().equals(key.name()));
        if (alreadyReported) {
            return;
        }
        if (value.isEmpty()) {
            mFaults.add(SettingsFault.of(key, "", "missing"));
            return;
        }
        key.rule()
                .reject(value)
                .ifPresent(reason -> mFaults.add(SettingsFault.of(key, value, reason)));
    }

    String text(String section, String name) {
        return mValues.getOrDefault(findKey(section, name).orElseThrow(), "");
    }

    int number(String section, String name) {
        return Integer.parseInt(text(section, name));
    }

    double decimal(String section, String name) {
        return Double.parseDouble(text(section, name));
    }

    Duration millis(String section, String name) {
        return Duration.ofMillis(Long.parseLong(text(section, name)));
    }

    Duration seconds(String section, String name) {
        return Duration.ofNanos(Math.round(decimal(section, name) * NANOS_PER_SECOND));
    }

    /** Reads milliseconds that may have a fraction. */
    Duration decimalMillis(String section, String name) {
        return Duration.ofNanos(Math.round(decimal(section, name) * NANOS_PER_MILLI));
    }

    InetSocketAddress endpoint(String section, String name) {
        return endpoint(text(section, name));
    }

    List<InetSocketAddress> endpoints(String section, String name) {
        return splitList(text(section, name)).stream().map(SettingsTable::endpoint).toList();
    }

    private static InetSocketAddress endpoint(String value) {
        int colon = value.lastIndexOf(':');
        return new InetSocketAddress(
                value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
    }
}
