/** Orders to engines: which state each backend server should have, and who says so. */
@NullMarked
package org.bulrushvale.decision.orders;

import org.jspecify.annotations.NullMarked;
