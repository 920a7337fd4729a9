/** Plug-ins that register themselves. */
package org.bulrushvale.kernel.plugin;
