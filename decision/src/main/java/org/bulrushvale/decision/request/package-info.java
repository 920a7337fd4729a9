/** One request on its way through its pipeline. */
@NullMarked
package org.bulrushvale.decision.request;

import org.jspecify.annotations.NullMarked;
