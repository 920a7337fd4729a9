package org.bulrushvale.decision.orders;

/**
 * An order to one engine.
 *
 * <p>Invariant: the fence is the published revision from which the target was derived. Thread
 * safety: immutable.
 *
 * @param server name of the backend server
 * @param target state that the engine must reach
 * @param fence fencing token; an engine that checks it refuses a lower one
 */
public record Order(String server, EngineState target, long fence) {}
