/**
 * Orders to the engines of backend servers: which state each engine must reach, and which entry
 * sends the order.
 */
@NullMarked
package org.bulrushvale.decision.orders;

import org.jspecify.annotations.NullMarked;
