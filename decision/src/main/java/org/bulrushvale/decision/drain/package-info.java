/** The order in which a leaving entry stops. */
@NullMarked
package org.bulrushvale.decision.drain;

import org.jspecify.annotations.NullMarked;
