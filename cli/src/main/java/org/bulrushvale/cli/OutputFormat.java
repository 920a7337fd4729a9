package org.bulrushvale.cli;

/**
 * Format in which a command prints its result.
 *
 * <p>Thread safety: immutable.
 */
enum OutputFormat {
    /** Aligned columns for people. */
    TABLE,
    /** One JSON document for programs. */
    JSON
}
