package org.bulrushvale.decision.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bulrushvale.decision.config.ConfigFault.Kind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against invalid revisions that are accepted and faults that do not name their place. */
public class ConfigParserTest {
    static Map<String, String> validValues() {
        Map<String, String> values = new HashMap<>();
        values.put("domains", "[{'name':'d1','region':'r','in_service':true}]");
        values.put(
                "backends",
                "[{'name':'b1','pool':'p','address':'127.0.0.1','port':80,'failure_domain':'d1',"
                        + "'slots':8,'bearable':2,'state':'live'}]");
        values.put(
                "pipelines",
                "[{'name':'pipe','stages':["
                        + "{'name':'s1','pool':'p','repeatable':true,'streams':false},"
                        + "{'name':'s2','pool':'p','repeatable':true,'streams':true}]}]");
        values.put(
                "classes",
                "[{'name':'c','target':0.99,'deadline_ms':5000,'worth':1.0,'pipeline':'pipe',"
                        + "'idempotent':true}]");
        values.put(
                "workspaces-00",
                "[{'name':'w','token_sha256':'" + "ab".repeat(32) + "','share':1.0}]");
        values.replaceAll((name, json) -> json.replace('\'', '"'));
        return values;
    }

    @DataProvider
    static Object[][] faults() {
        return new Object[][] {
            {"classes", "0.99", "1.01", Kind.OUT_OF_RANGE, "[0].target", "1.01"},
            {"classes", "0.99", "0", Kind.OUT_OF_RANGE, "[0].target", "0"},
            {"classes", "5000", "0", Kind.OUT_OF_RANGE, "[0].deadline_ms", "0"},
            {"classes", "5000", "60001", Kind.OUT_OF_RANGE, "[0].deadline_ms", "60001"},
            {"classes", "'pipe'", "'nil'", Kind.DANGLING_REFERENCE, "[0].pipeline", "nil"},
            {"classes", "'worth'", "'weight'", Kind.UNKNOWN_FIELD, "[0].weight", "weight"},
            {"classes", "'worth':1.0,", "", Kind.MISSING_FIELD, "[0].worth", "worth"},
            {"backends", "'d1'", "'d2'", Kind.DANGLING_REFERENCE, "[0].failure_domain", "d2"},
            {"backends", "':2", "':9", Kind.OUT_OF_RANGE, "[0].bearable", "9 > slots 8"},
            {"backends", "'live'", "'dead'", Kind.OUT_OF_RANGE, "[0].state", "dead"},
            {"backends", "80", "'80'", Kind.WRONG_TYPE, "[0].port", "\"80\""},
            {"pipelines", "'p',", "'q',", Kind.DANGLING_REFERENCE, "[0].stages[0].pool", "q"},
            {"pipelines", "'s2'", "'s1'", Kind.DUPLICATE, "[0].stages[1].name", "s1"},
            {"pipelines", "false", "true", Kind.STREAM_NOT_LAST, "[0].stages[0].streams", "s1"},
            {
                "pipelines",
                "'repeatable':true",
                "'repeatable':false",
                Kind.NOT_REPEATABLE,
                "[0].idempotent",
                "s1"
            },
            {"domains", "}]", "}", Kind.MALFORMED_JSON, null, null},
            {"domains", "'region'", "'name'", Kind.MALFORMED_JSON, null, null},
            {"workspaces-00", "'ab", "'zz", Kind.OUT_OF_RANGE, "[0].token_sha256", null},
        };
    }

    @Test(dataProvider = "faults")
    public void a_fault_names_its_value_path_and_text(
            String value, String from, String to, Kind kind, String path, String text) {
        // given
        Map<String, String> values = validValues();
        String original = values.get(value);
        String changed = original.replace(from.replace('\'', '"'), to.replace('\'', '"'));
        assertThat(changed).isNotEqualTo(original);
        values.put(value, changed);
        // when
        List<ConfigFault> faults = ConfigParser.check(values);
        // then
        assertThat(faults)
                .anySatisfy(
                        fault -> {
                            assertThat(fault.kind()).isEqualTo(kind);
                            assertThat(path == null ? fault.path() : path).isEqualTo(fault.path());
                            assertThat(text == null ? fault.text() : text).isEqualTo(fault.text());
                        });
        assertThat(faults).noneMatch(fault -> fault.text().contains("ab".repeat(8)));
    }

    @Test
    public void valid_values_survive_writing_and_parsing() {
        ParseResult result = ConfigParser.parse(3, validValues());
        assertThat(result).isInstanceOf(ParseResult.Valid.class);
        PublishedConfig config = ((ParseResult.Valid) result).config();
        assertThat(config.pool("p")).hasSize(1);
        assertThat(ConfigWriter.roundTrips(config)).isTrue();
    }

    @Test
    public void values_that_are_too_large_unknown_or_missing_are_refused() {
        Map<String, String> values = validValues();
        values.put("domains", " ".repeat(ConfigParser.MAX_VALUE_BYTES) + "[]");
        values.put("weights", "[]");
        values.remove("classes");
        assertThat(ConfigParser.check(values))
                .extracting(ConfigFault::kind)
                .contains(Kind.TOO_LARGE, Kind.UNKNOWN_VALUE, Kind.MISSING_VALUE);
    }
}
