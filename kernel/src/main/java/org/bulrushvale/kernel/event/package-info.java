/** The event loop: one thread that runs submitted tasks in order. */
package org.bulrushvale.kernel.event;
