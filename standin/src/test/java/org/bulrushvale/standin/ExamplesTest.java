package org.bulrushvale.standin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.bulrushvale.standin.http.Json;
import org.bulrushvale.standin.stage.StageOutput;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against examples whose files contradict each other: a reference to a pipeline, pool or
 * failure domain that does not exist, a token hash that does not fit the workspace, an idempotent
 * class with a stage that must not be repeated, or a load mix without one of the classes.
 */
public class ExamplesTest {
    @DataProvider
    public Object[][] exampleSets() {
        return new Object[][] {{"granite-oath", 9}, {"ghiacciolago", 8}, {"quickstart", 3}};
    }

    private static JsonNode value(String set, String name) throws IOException {
        String text = Files.readString(Path.of("..", "examples", set, name + ".json"));
        String withPorts = text.replaceAll("\\{\\{port:[a-z0-9-]+\\}\\}", "1");
        return Json.parse(withPorts.getBytes(StandardCharsets.UTF_8));
    }

    @Test(dataProvider = "exampleSets")
    public void references_between_values_resolve(String set, int entries) throws IOException {
        List<String> pipelines = value(set, "pipelines").findValuesAsText("name");
        List<String> domains = value(set, "domains").findValuesAsText("name");
        List<String> pools = value(set, "backends").findValuesAsText("pool");
        for (JsonNode workClass : value(set, "classes")) {
            assertThat(pipelines).contains(workClass.path("pipeline").asText());
        }
        assertThat(pools).containsAll(value(set, "pipelines").findValuesAsText("pool"));
        assertThat(domains).containsAll(value(set, "backends").findValuesAsText("failure_domain"));
        assertThat(value(set, "vms")).hasSize(entries);
        assertThat(domains).containsAll(value(set, "vms").findValuesAsText("failure_domain"));
    }

    @Test(dataProvider = "exampleSets")
    public void token_hashes_match_the_workspace_names(String set, int entries) throws IOException {
        for (JsonNode workspace : value(set, "workspaces-00")) {
            String token = workspace.path("name").asText() + "-token";
            assertThat(workspace.path("token_sha256").asText())
                    .isEqualTo(StageOutput.sha256Hex(token));
        }
    }

    @Test(dataProvider = "exampleSets")
    public void classes_are_idempotent_when_all_their_stages_are_repeatable(String set, int entries)
            throws IOException {
        for (JsonNode workClass : value(set, "classes")) {
            for (JsonNode pipeline : value(set, "pipelines")) {
                if (pipeline.path("name").equals(workClass.path("pipeline"))) {
                    boolean repeatable = !pipeline.findValuesAsText("repeatable").contains("false");
                    assertThat(workClass.path("idempotent").asBoolean()).isEqualTo(repeatable);
                }
            }
        }
    }

    @Test(dataProvider = "exampleSets")
    public void mix_contains_all_classes_and_workspace_tokens(String set, int entries)
            throws IOException {
        String mix = Files.readString(Path.of("..", "examples", set, "mix.ini"));
        for (JsonNode workClass : value(set, "classes")) {
            assertThat(mix)
                    .containsPattern(
                            "\\[class "
                                    + workClass.path("name").asText()
                                    + "\\][^\\[]*idempotent = "
                                    + workClass.path("idempotent").asBoolean());
        }
        List<String> workspaces = value(set, "workspaces-00").findValuesAsText("name");
        assertThat(workspaces).allSatisfy(name -> assertThat(mix).contains(name + "-token"));
    }
}
