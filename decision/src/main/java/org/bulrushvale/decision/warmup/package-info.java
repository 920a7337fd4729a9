/** Limits the load that the whole fleet puts on backend servers that have just started. */
package org.bulrushvale.decision.warmup;
