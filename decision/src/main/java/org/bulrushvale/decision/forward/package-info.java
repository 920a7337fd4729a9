/**
 * Decisions of the forwarding entry: routes, fleet members, choice of backend servers, budgets and
 * batches of stage pieces.
 */
package org.bulrushvale.decision.forward;
