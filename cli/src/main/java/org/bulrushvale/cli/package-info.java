/** The operators' command-line tool. */
@NullMarked
package org.bulrushvale.cli;

import org.jspecify.annotations.NullMarked;
