package org.bulrushvale.decision.forward;

/**
 * The software version whose server wrote the first event that a stream has from a service.
 *
 * <p>Thread safety: immutable.
 */
public record StreamOrigin(String service, String version) {}
