/** Retries, hedges and the isolation of requests that crash backend servers. */
@NullMarked
package org.bulrushvale.decision.retry;

import org.jspecify.annotations.NullMarked;
