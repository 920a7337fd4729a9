/**
 * Attainment: the fraction of requests that met their target, the backend time that they took, and
 * the burn rate of the error budgets.
 */
@NullMarked
package org.bulrushvale.decision.attainment;

import org.jspecify.annotations.NullMarked;
