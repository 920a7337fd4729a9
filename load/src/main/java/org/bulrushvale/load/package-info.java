/** Load generator for experiments: open-loop arrivals sent to one or more entries. */
package org.bulrushvale.load;
