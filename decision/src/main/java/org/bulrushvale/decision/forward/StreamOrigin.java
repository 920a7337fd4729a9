package org.bulrushvale.decision.forward;

/**
 * The service and the software version that began a stream.
 *
 * <p>Thread safety: immutable.
 */
public record StreamOrigin(String service, String version) {}
