/** The published list of VMs, the state that peers report, gossip and isolation. */
package org.bulrushvale.decision.membership;
