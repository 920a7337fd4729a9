package org.bulrushvale.adapters.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against entries that do not start because the platform renders a number of the settings
 * template in another form, such as a fraction, an exponent or nothing.
 */
public class ForwardSettingsTest {
    private static final Path TEMPLATE = Path.of("..", "deploy", "settings.ini.template");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]*)}}");
    private static final Map<String, String> VALUES =
            Map.ofEntries(
                    Map.entry("nodeName", "front-1"),
                    Map.entry("zone", "como"),
                    Map.entry("region", "italia-nord"),
                    Map.entry("bind.front", "10.1.0.4:8625"),
                    Map.entry("bind.ready", "10.1.0.4:8621"),
                    Map.entry("bind.control", "10.1.0.4:8628"),
                    Map.entry("ip", "10.1.0.4"),
                    Map.entry("internalPorts.0", "7740"),
                    Map.entry("seeds", "10.1.0.4:8628,10.2.0.2:8628"),
                    Map.entry("platform.address", "10.200.1.7:8624"),
                    Map.entry("bounds.retryBudgetRatio", "0.2"),
                    Map.entry("bounds.retryBudgetSlack", "56"),
                    Map.entry("bounds.budgetWindowS", "10"),
                    Map.entry("bounds.graceS", "8"),
                    Map.entry("bounds.configDeadlineMs", "4000"),
                    Map.entry("bounds.drainMs", "3000"),
                    Map.entry("limits.cpuShare", "0.36"),
                    Map.entry("limits.cores", "2"),
                    Map.entry("limits.memoryMb", "409.6"),
                    Map.entry("limits.linkMbps", "140"));

    @DataProvider
    public Object[][] renderings() {
        return new Object[][] {
            {"bounds.retryBudgetSlack", "37.093333333333334"},
            {"bounds.retryBudgetSlack", "0"},
            {"bounds.retryBudgetSlack", "1e+03"},
            {"bounds.retryBudgetSlack", "2.5E6"},
            {"bounds.retryBudgetSlack", ""},
            {"bounds.retryBudgetRatio", "0"},
            {"bounds.retryBudgetRatio", "1"},
            {"bounds.retryBudgetRatio", "1.5"},
            {"bounds.retryBudgetRatio", "5e-02"},
            {"bounds.retryBudgetRatio", ""},
            {"bounds.budgetWindowS", "2.5"},
            {"bounds.budgetWindowS", "10.0"},
            {"bounds.budgetWindowS", "3600"},
            {"bounds.budgetWindowS", ""},
            {"bounds.graceS", "2.5"},
            {"bounds.graceS", "30"},
            {"bounds.graceS", "8.0"},
            {"bounds.graceS", ""},
            {"bounds.configDeadlineMs", "2500.5"},
            {"bounds.configDeadlineMs", ""},
            {"bounds.drainMs", "3e3"},
            {"bounds.drainMs", ""},
            {"limits.cpuShare", "1"},
            {"limits.cpuShare", ""},
            {"limits.cores", "1.5"},
            {"limits.cores", ""},
            {"limits.memoryMb", "682"},
            {"limits.memoryMb", ""},
            {"limits.linkMbps", "7.5"},
            {"limits.linkMbps", ""},
            {"seeds", ""},
            {"seeds", "10.1.0.4:8628"},
        };
    }

    @Test(dataProvider = "renderings")
    public void the_template_is_valid_with_every_form_of_a_value(String name, String value)
            throws IOException {
        assertThat(ForwardSettings.check(render(name, value)).faults()).isEmpty();
    }

    // A VM of unknown size that counted as a small or large one would shift the choice of
    // collectors.
    @Test
    public void the_capacity_is_the_smaller_of_cores_and_link_or_unknown() throws IOException {
        assertThat(settings("seeds", "").features().vm().capacity()).isEqualTo(72);
        assertThat(settings("limits.linkMbps", "7.5").features().vm().capacity()).isEqualTo(8);
        assertThat(settings("limits.linkMbps", "").features().vm().capacity()).isZero();
        assertThat(settings("limits.cores", "").features().vm().capacity()).isZero();
    }

    @Test
    public void fractions_are_read_exactly() throws IOException {
        ForwardSettings settings = settings("bounds.budgetWindowS", "2.5");
        assertThat(settings.limits().repeatWindow()).isEqualTo(Duration.ofMillis(2_500));
        assertThat(settings("bounds.graceS", "2.5").drain().grace())
                .isEqualTo(Duration.ofMillis(2_500));
        assertThat(settings("bounds.drainMs", "2500.5").fleet().freshness())
                .isEqualTo(Duration.ofNanos(2_500_500_000L));
        assertThat(settings("bounds.retryBudgetSlack", "37.25").limits().repeatSlack())
                .isEqualTo(37.25);
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {"bounds.retryBudgetSlack", "-1"},
            {"bounds.retryBudgetSlack", "NaN"},
            {"bounds.retryBudgetRatio", "Infinity"},
            {"bounds.budgetWindowS", "0"},
            {"bounds.graceS", "soon"},
        };
    }

    @Test(dataProvider = "faults")
    public void values_that_make_no_sense_are_reported(String name, String value)
            throws IOException {
        assertThat(ForwardSettings.check(render(name, value)).faults()).hasSize(1);
    }

    @Test
    public void the_secret_is_not_part_of_the_text_form() throws IOException {
        assertThat(settings("seeds", "").toString()).doesNotContain("fleet-secret");
    }

    private static ForwardSettings settings(String name, String value) throws IOException {
        return ForwardSettings.check(render(name, value)).settings().orElseThrow();
    }

    private static String render(String name, String value) throws IOException {
        Matcher matcher = PLACEHOLDER.matcher(Files.readString(TEMPLATE));
        return matcher.replaceAll(
                match -> match.group(1).equals(name) ? value : VALUES.get(match.group(1)));
    }
}
