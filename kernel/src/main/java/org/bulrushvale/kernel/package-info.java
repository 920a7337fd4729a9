/** The kernel: time, verdicts, identifiers, the event loop and the plug-in registry. */
package org.bulrushvale.kernel;
