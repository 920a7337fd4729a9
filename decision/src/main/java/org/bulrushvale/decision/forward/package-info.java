/** Decisions of the forwarding entry: routes, backend servers, budgets and stage batches. */
package org.bulrushvale.decision.forward;
