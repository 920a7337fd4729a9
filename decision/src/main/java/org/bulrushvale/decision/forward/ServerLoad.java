package org.bulrushvale.decision.forward;

import java.util.OptionalInt;

/**
 * Load that a backend server states in an answer.
 *
 * <p>Invariant: figures that the server did not state, or stated as something else than a number in
 * range, are empty. Thread safety: immutable.
 *
 * @param running requests that the server runs
 * @param waiting requests that wait at the server
 * @param slots requests that the server can run at once
 * @param pacePercent how long work takes on the server now, in percent of the usual
 */
public record ServerLoad(
        OptionalInt running, OptionalInt waiting, OptionalInt slots, OptionalInt pacePercent) {}
