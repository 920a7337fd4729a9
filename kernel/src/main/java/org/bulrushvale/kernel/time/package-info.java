/** Monotonic and wall-clock time, passed in as an interface. */
package org.bulrushvale.kernel.time;
