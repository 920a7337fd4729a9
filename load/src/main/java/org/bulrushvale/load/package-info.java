/** Load and experiment tool: open-loop arrivals against one or more entries. */
package org.bulrushvale.load;
