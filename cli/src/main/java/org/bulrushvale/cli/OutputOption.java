package org.bulrushvale.cli;

import picocli.CommandLine.Option;

/**
 * The option that chooses how a command prints its result.
 *
 * <p>Thread safety: not safe; filled by the command line of the main thread.
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
