/** Limits the work sent to backend servers that have just started, summed over the fleet. */
package org.bulrushvale.decision.warmup;
