package org.bulrushvale.decision.config;

/**
 * One stage of a pipeline.
 *
 * <p>Thread safety: immutable.
 *
 * @param name unique within the pipeline
 * @param pool pool of backend servers that run the stage
 * @param repeatable false when a call that may have run must not be repeated
 * @param streams true when the stage's answer is streamed to the caller
 */
public record Stage(String name, String pool, boolean repeatable, boolean streams) {}
