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
 * @param duration length of the run
 * @param classes classes with their weights
 * @param workspaces workspaces with their weights
 */
public record Mix(
        double rate, Duration duration, List<ClassMix> classes, List<WorkspaceMix> workspaces) {
    private static final String CLASS = "class ";
    private static final String WORKSPACE = "workspace ";

    public Mix {
        classes = List.copyOf(classes);
        workspaces = List.copyOf(workspaces);
        if (classes.isEmpty() || workspaces.isEmpty()) {
            throw new IllegalArgumentException("a mix needs a [class NAME] and a [workspace NAME]");
        }
        if (!(rate > 0)) {
            throw new IllegalArgumentException("rate must be positive");
        }
    }

    /** Reads a file; throws {@link IllegalArgumentException} when its content is wrong. */
    public static Mix read(Path file) throws IOException {
        INIConfiguration ini = new INIConfiguration();
        try (Reader reader = Files.newBufferedReader(file)) {
            ini.read(reader);
            return of(ini);
        } catch (ConfigurationException | ConversionException e) {
            throw new IllegalArgumentException("bad mix file: " + e.getMessage(), e);
        }
    }

    private static Mix of(INIConfiguration ini) {
        List<ClassMix> classes = new ArrayList<>();
        List<WorkspaceMix> workspaces = new ArrayList<>();
        for (String section : ini.getSections()) {
            if (section == null) {
                continue;
            }
            SubnodeConfiguration values = ini.getSection(section);
            if (section.startsWith(CLASS)) {
                classes.add(classMix(section.substring(CLASS.length()), values));
            } else if (section.startsWith(WORKSPACE)) {
                String name = section.substring(WORKSPACE.length());
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

    private static ClassMix classMix(String name, SubnodeConfiguration values) {
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
