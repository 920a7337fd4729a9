/** The order in which waiting requests are served, and what is refused under overload. */
@NullMarked
package org.bulrushvale.decision.admission;

import org.jspecify.annotations.NullMarked;
