package org.bulrushvale.adapters.settings;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * One key of the settings file and the rule that its value must satisfy.
 *
 * <p>Thread safety: immutable.
 *
 * @param section section that the key belongs to
 * @param name key name
 * @param defaultValue value when the key is missing; null when the key is required
 * @param secret true when the value must never be shown
 * @param rule rule that accepts or rejects a value
 */
record SettingKey(
        String section, String name, @Nullable String defaultValue, boolean secret, Rule rule) {
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
    private static final Pattern IPV4_PATTERN =
            Pattern.compile("(?:(?:25[0-5]|2[0-4]\\d|1?\\d?\\d)(?:\\.(?!$)|$)){4}");
    private static final Pattern IPV6_PATTERN = Pattern.compile("[0-9a-fA-F:]*:[0-9a-fA-F:.]*");
    private static final int MAX_PORT = 65_535;
    private static final int MIN_SECRET_CHARS = 16;

    /**
     * Accepts or rejects the value of a key.
     *
     * <p>Thread safety: implementations are stateless.
     */
    @FunctionalInterface
    interface Rule {
        /** Returns the reason why the value is rejected, or empty when it is accepted. */
        Optional<String> reject(String value);
    }

    static SettingKey required(String section, String name, Rule rule) {
        return new SettingKey(section, name, null, false, rule);
    }

    static SettingKey optional(String section, String name, String defaultValue, Rule rule) {
        return new SettingKey(section, name, defaultValue, false, rule);
    }

    static SettingKey secret(String section, String name) {
        return new SettingKey(section, name, null, true, SettingKey::rejectShortSecret);
    }

    static Rule range(long min, long max) {
        return value -> {
            try {
                long number = Long.parseLong(value);
                return number >= min && number <= max
                        ? Optional.empty()
                        : Optional.of("must be between " + min + " and " + max);
            } catch (NumberFormatException e) {
                return Optional.of("must be a whole number");
            }
        };
    }

    /** Port 0 asks the operating system for a free port. */
    static Rule port() {
        return range(0, MAX_PORT);
    }

    static Rule identifier() {
        return value ->
                NAME_PATTERN.matcher(value).matches()
                        ? Optional.empty()
                        : Optional.of(
                                "must be a name of 1 to 63 letters, digits, '.', '_' and '-'");
    }

    static Rule oneOf(String... values) {
        List<String> allowed = Arrays.asList(values);
        return value ->
                allowed.contains(value)
                        ? Optional.empty()
                        : Optional.of("must be one of " + String.join(", ", allowed));
    }

    static Rule address() {
        return value -> isAddress(value) ? Optional.empty() : Optional.of("must be an IP address");
    }

    static Rule addressList() {
        return value ->
                SettingsTable.splitList(value).stream().allMatch(SettingKey::isAddress)
                        ? Optional.empty()
                        : Optional.of("must be IP addresses separated by commas");
    }

    static Rule endpointList() {
        return value ->
                SettingsTable.splitList(value).stream().allMatch(item -> isEndpoint(item, 1))
                        ? Optional.empty()
                        : Optional.of("must be address:port pairs separated by commas");
    }

    static Rule httpUrl() {
        return value -> {
            try {
                URI uri = new URI(value);
                boolean valid = "http".equals(uri.getScheme()) && uri.getHost() != null;
                return valid ? Optional.empty() : Optional.of("must be an http URL with a host");
            } catch (URISyntaxException e) {
                return Optional.of("must be an http URL");
            }
        };
    }

    static Rule endpoint() {
        return value ->
                isEndpoint(value, 1)
                        ? Optional.empty()
                        : Optional.of("must be an address:port pair");
    }

    /** Port 0 asks the operating system for a free port. */
    static Rule listenEndpoint() {
        return value ->
                isEndpoint(value, 0)
                        ? Optional.empty()
                        : Optional.of("must be an address:port pair");
    }

    static Rule decimal(double min, double max) {
        return value -> {
            try {
                double number = Double.parseDouble(value);
                return number >= min && number <= max
                        ? Optional.empty()
                        : Optional.of("must be between " + min + " and " + max);
            } catch (NumberFormatException e) {
                return Optional.of("must be a number");
            }
        };
    }

    private static Optional<String> rejectShortSecret(String value) {
        return value.length() >= MIN_SECRET_CHARS
                ? Optional.empty()
                : Optional.of("must have at least " + MIN_SECRET_CHARS + " characters");
    }

    private static boolean isAddress(String text) {
        return IPV4_PATTERN.matcher(text).matches() || IPV6_PATTERN.matcher(text).matches();
    }

    private static boolean isEndpoint(String text, int minPort) {
        int colon = text.lastIndexOf(':');
        return colon > 0
                && isAddress(text.substring(0, colon))
                && range(minPort, MAX_PORT).reject(text.substring(colon + 1)).isEmpty();
    }
}
