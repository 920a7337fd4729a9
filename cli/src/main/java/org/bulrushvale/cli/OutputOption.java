package org.bulrushvale.cli;

import picocli.CommandLine.Option;

/**
 * The {@code --output} option, which selects the format of a command's result.
 *
 * <p>Thread safety: not safe; set by the command-line parser on the main thread.
 */
final class OutputOption {
    @Option(
            names = "--output",
            paramLabel = "FORMAT",
            defaultValue = "table",
            description = "${COMPLETION-CANDIDATES} (default: table)")
    private OutputFormat mFormat = OutputFormat.TABLE;

    boolean isJson() {
        return mFormat == OutputFormat.JSON;
    }
}
