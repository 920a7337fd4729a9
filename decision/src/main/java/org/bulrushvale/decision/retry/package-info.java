/** Limits on retries and hedges, and the detection of requests that crash backend servers. */
@NullMarked
package org.bulrushvale.decision.retry;

import org.jspecify.annotations.NullMarked;
