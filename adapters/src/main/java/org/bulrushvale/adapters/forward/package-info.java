/** Network code of the forwarding entry, and the interfaces that a platform adapter implements. */
@NullMarked
package org.bulrushvale.adapters.forward;

import org.jspecify.annotations.NullMarked;
