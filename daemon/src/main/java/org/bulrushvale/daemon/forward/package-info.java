/** The forwarding entry: request forwarding, stage execution, fleet membership and shutdown. */
@NullMarked
package org.bulrushvale.daemon.forward;

import org.jspecify.annotations.NullMarked;
