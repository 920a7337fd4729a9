/** The forwarding entry: requests, stages, members and shutdown. */
@NullMarked
package org.bulrushvale.daemon.forward;

import org.jspecify.annotations.NullMarked;
