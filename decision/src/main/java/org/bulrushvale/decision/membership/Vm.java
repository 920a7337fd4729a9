package org.bulrushvale.decision.membership;

/**
 * One VM of the fleet, as the platform lists it.
 *
 * <p>Thread safety: immutable.
 *
 * @param name unique name
 * @param address IP address
 * @param peerPort TCP port of the peer listener
 * @param failureDomain failure domain that the VM runs in
 * @param region region of the failure domain
 * @param leaving true when the platform is about to remove the VM
 */
public record Vm(
        String name,
        String address,
        int peerPort,
        String failureDomain,
        String region,
        boolean leaving) {}
