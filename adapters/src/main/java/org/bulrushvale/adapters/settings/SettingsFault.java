package org.bulrushvale.adapters.settings;

/**
 * One fault found in a settings file.
 *
 * <p>Invariant: the value of a secret key is never stored. Thread safety: immutable.
 *
 * @param section section name, empty for keys outside any section
 * @param key key name, empty when the section itself is the fault
 * @param value value as written, empty when missing
 * @param reason why the value, key or section is invalid
 */
public record SettingsFault(String section, String key, String value, String reason) {
    private static final String HIDDEN = "(hidden)";

    static SettingsFault of(SettingKey key, String value, String reason) {
        return new SettingsFault(
                key.section(),
                key.name(),
                key.secret() && !value.isEmpty() ? HIDDEN : value,
                reason);
    }

    static SettingsFault unknownSection(String section) {
        return new SettingsFault(section, "", "", "unknown section");
    }

    static SettingsFault unknownKey(String section, String key) {
        return new SettingsFault(section, key, HIDDEN, "unknown key");
    }

    @Override
    public String toString() {
        return "[" + section + "] " + key + " = " + value + ": " + reason;
    }
}
