/** HTTP listener for callers. */
package org.bulrushvale.adapters.caller;
