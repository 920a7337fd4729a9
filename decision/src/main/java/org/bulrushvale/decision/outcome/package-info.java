/** Verdicts of attempts and of whole requests. */
package org.bulrushvale.decision.outcome;
