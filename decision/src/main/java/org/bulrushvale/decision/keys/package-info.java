/** Idempotency keys: their issue, the records of each key space, and the handover of spaces. */
package org.bulrushvale.decision.keys;
