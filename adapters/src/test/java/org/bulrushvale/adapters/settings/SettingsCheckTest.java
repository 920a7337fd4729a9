package org.bulrushvale.adapters.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against settings faults that are reported one at a time or only at first use, secrets in
 * fault messages, and values that variable substitution changes.
 */
public class SettingsCheckTest {
    private static final String VALID =
            """
            [entry]
            vm = vm-1
            failure_domain = como
            region = italia-nord
            fleet = rilievi
            [caller]
            address = 127.0.0.1
            port = 8080
            [operator]
            address = 127.0.0.1
            port = 8081
            allowed_addresses = 127.0.0.1, ::1
            [peer]
            address = 127.0.0.1
            port = 8082
            secret = 0123456789abcdef
            peers = 127.0.0.1:8092, 127.0.0.1:8102
            [platform]
            config_url = http://127.0.0.1:9000
            vms_url = http://127.0.0.1:9000
            """;

    @Test
    public void valid_settings_are_returned_with_defaults() {
        // when
        SettingsCheck.Result result = SettingsCheck.check(VALID);
        // then
        assertThat(result.faults()).isEmpty();
        EntrySettings settings = result.settings().orElseThrow();
        assertThat(settings.caller().maxBodyBytes()).isEqualTo(262_144);
        assertThat(settings.operator().allowedAddresses()).containsExactly("127.0.0.1", "::1");
        assertThat(settings.peer().peers()).hasSize(2);
        assertThat(settings.log().json()).isTrue();
        assertThat(settings.toString()).doesNotContain("0123456789abcdef");
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"port = 8080", "port = 99999", "caller", "port", "99999"},
            {"port = 8080", "port = eighty", "caller", "port", "eighty"},
            {"port = 8080", "", "caller", "port", ""},
            {"port = 8080", "port = 8080\nmax_body_bytes = 0", "caller", "max_body_bytes", "0"},
            {"vm = vm-1", "vm = a b", "entry", "vm", "a b"},
            {"vm = vm-1", "vm = vm-1\nvm = vm-2", "entry", "vm", "[vm-1, vm-2]"},
            {"127.0.0.1, ::1", "localhost", "operator", "allowed_addresses", "localhost"},
            {"8092, 127", "0, 127", "peer", "peers", "127.0.0.1:0, 127.0.0.1:8102"},
            {"0123456789abcdef", "short", "peer", "secret", "(hidden)"},
            {
                "config_url = http",
                "config_url = ftp",
                "platform",
                "config_url",
                "ftp://127.0.0.1:9000"
            },
            {"vm = vm-1", "vm = vm-1\nflet = x", "entry", "flet", "(hidden)"},
            {"[peer]", "[per]", "per", "", ""},
        };
    }

    @Test(dataProvider = "faults")
    public void each_fault_names_its_section_key_and_value(
            String from, String to, String section, String key, String value) {
        // when
        SettingsCheck.Result result = SettingsCheck.check(VALID.replace(from, to));
        // then
        assertThat(result.settings()).isEmpty();
        assertThat(result.faults())
                .anySatisfy(
                        fault -> {
                            assertThat(fault.section()).isEqualTo(section);
                            assertThat(fault.key()).isEqualTo(key);
                            assertThat(fault.value()).isEqualTo(value);
                            assertThat(fault.reason()).isNotEmpty();
                        });
    }

    @Test
    public void all_faults_are_reported_at_once() {
        // when
        List<SettingsFault> faults =
                SettingsCheck.check("[entry]\nvm = vm-1\n[log]\nformat = xml\n").faults();
        // then
        assertThat(faults).extracting(SettingsFault::section).contains("caller", "peer", "log");
        assertThat(faults).hasSizeGreaterThan(10);
    }

    @Test
    public void values_are_used_without_variable_substitution() {
        // when
        SettingsCheck.Result result =
                SettingsCheck.check(VALID.replace("0123456789abcdef", "${sys:user.home}-abcdef"));
        // then
        assertThat(result.settings().orElseThrow().peer().secret())
                .isEqualTo("${sys:user.home}-abcdef");
    }
}
