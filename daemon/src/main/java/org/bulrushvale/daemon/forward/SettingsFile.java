package org.bulrushvale.daemon.forward;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.bulrushvale.adapters.settings.ForwardSettings;

/**
 * Reads the settings file of a running process, which may change with or without a signal.
 *
 * <p>Invariant: {@link #readChanged} skips content that was checked before. Thread safety: safe for
 * use by any thread.
 */
final class SettingsFile {
    private final Path mPath;
    private String mText = "";

    SettingsFile(Path path) {
        mPath = path;
    }

    /** Reads and checks the file. */
    synchronized ForwardSettings.Result read() throws IOException {
        return check(Files.readString(mPath));
    }

    private ForwardSettings.Result check(String text) {
        mText = text;
        return ForwardSettings.check(text);
    }

    /** Reads and checks the file if its content has changed; a missing file counts as unchanged. */
    synchronized Optional<ForwardSettings.Result> readChanged() {
        try {
            String text = Files.readString(mPath);
            return text.equals(mText) ? Optional.empty() : Optional.of(check(text));
        } catch (IOException e) {
            // The file may be missing for a moment while it is replaced.
            return Optional.empty();
        }
    }
}
