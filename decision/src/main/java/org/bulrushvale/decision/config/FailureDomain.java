package org.bulrushvale.decision.config;

/**
 * A failure domain and whether operators have it in service.
 *
 * <p>Thread safety: immutable.
 *
 * @param name unique name
 * @param region region that it belongs to
 * @param inService false when its backend servers must receive no new work
 */
public record FailureDomain(String name, String region, boolean inService) {}
