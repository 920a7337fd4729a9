/** The single-writer event loop. */
package org.bulrushvale.kernel.event;
