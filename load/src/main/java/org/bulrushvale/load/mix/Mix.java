package org.bulrushvale.load.mix;

import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.apache.commons.configuration2.ex.ConfigurationException;
import org.apache.commons.configuration2.ex.ConversionException;

/**
 * A traffic mix read from an INI file.
 *
 * <p>Invariant: at least one class and one workspace. Thread safety: immutable.
 *
 * @param rate arrivals per second
 * @param duration period in which requests are sent
 * @param classes classes with their weights
 * @param workspaces workspaces with their weights
 */
public record Mix(
        double rate, Duration duration, List<ClassMix> classes, List<WorkspaceMix> workspaces) {
    private static final String CLASS_SECTION_PREFIX = "class ";
    private static final String WORKSPACE_SECTION_PREFIX = "workspace ";

    public Mix {
        classes = List.copyOf(classes);
        workspaces = List.copyOf(workspaces);
        if (classes.isEmpty() || workspaces.isEmpty()) {
            throw new IllegalArgumentException("a mix needs a [class NAME] and a [workspace NAME]");
        }
        if (!(rate > 0)) {
            throw new IllegalArgumentException("rate must be positive: " + rate);
        }
    }

    /** Reads a mix file; throws {@link IllegalArgumentException} if its content is invalid. */
    public static Mix read(Path file) throws IOException {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(file)) {
            ini.read(reader);
            return parse(ini);
        } catch (ConfigurationException | ConversionException e) {
            throw new IllegalArgumentException("bad mix file: " + e.getMessage(), e);
        }
    }

    private static Mix parse(INIConfiguration ini) {
        List<ClassMix> classes = new ArrayList<>();
        List<WorkspaceMix> workspaces = new ArrayList<>();
        for (String section : ini.getSections()) {
            if (section == null) {
                continue;
            }
            SubnodeConfiguration values = ini.getSection(section);
            if (section.startsWith(CLASS_SECTION_PREFIX)) {
                classes.add(parseClass(section.substring(CLASS_SECTION_PREFIX.length()), values));
            } else if (section.startsWith(WORKSPACE_SECTION_PREFIX)) {
                String name = section.substring(WORKSPACE_SECTION_PREFIX.length());
                String token = values.getString("token", "");
                workspaces.add(new WorkspaceMix(name, token, values.getDouble("weight", 1)));
            } else if (!section.equals("load")) {
                throw new IllegalArgumentException("unknown section: " + section);
            }
        }
        SubnodeConfiguration load = ini.getSection("load");
        Duration duration = Duration.ofSeconds(load.getLong("duration_s", 10));
        return new Mix(load.getDouble("rate", 10), duration, classes, workspaces);
    }

    private static ClassMix parseClass(String name, SubnodeConfiguration values) {
        return new ClassMix(
                name,
                values.getDouble("weight", 1),
                Duration.ofMillis(values.getLong("deadline_ms", 5000)),
                values.getBoolean("idempotent", true),
                values.getBoolean("stream", false),
                values.getInt("max_tokens", 0),
                values.getInt("input_words", 16),
                values.getInt("sessions", 0));
    }
}
