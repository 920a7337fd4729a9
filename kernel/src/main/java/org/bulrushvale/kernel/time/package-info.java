/** Monotonic and wall-clock time behind an interface, so that tests can control it. */
package org.bulrushvale.kernel.time;
