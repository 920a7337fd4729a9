/** Plug-ins of a daemon and their life cycle. */
package org.bulrushvale.kernel.plugin;
