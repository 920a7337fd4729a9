/** Graceful shutdown of an entry. */
@NullMarked
package org.bulrushvale.decision.drain;

import org.jspecify.annotations.NullMarked;
