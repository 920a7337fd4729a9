/** Idempotency keys: issue, records per key space, and one-shot handover of a space. */
package org.bulrushvale.decision.keys;
