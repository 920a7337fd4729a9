/** Queues that order waiting requests and decide which of them to refuse under overload. */
@NullMarked
package org.bulrushvale.decision.admission;

import org.jspecify.annotations.NullMarked;
