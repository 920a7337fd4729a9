/** What share of the requests reached their target, at which cost, and how fast budgets burn. */
@NullMarked
package org.bulrushvale.decision.attainment;

import org.jspecify.annotations.NullMarked;
