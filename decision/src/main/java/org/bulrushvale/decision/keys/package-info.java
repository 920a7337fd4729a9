/**
 * Idempotency keys: their issue, the records of each key space, and the handover of spaces.
 *
 * <p>An incarnation identifies one run of an entry process; a restarted process has a new one. A
 * key space consists of the keys that one incarnation issued, and is identified by that
 * incarnation.
 */
package org.bulrushvale.decision.keys;
