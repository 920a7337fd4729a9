/** The run of one request through its pipeline: attempts, results, deadline and verdict. */
@NullMarked
package org.bulrushvale.decision.request;

import org.jspecify.annotations.NullMarked;
