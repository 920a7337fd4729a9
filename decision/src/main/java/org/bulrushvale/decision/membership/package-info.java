/** The published list of VMs, peers and what was heard from them, gossip and isolation. */
package org.bulrushvale.decision.membership;
