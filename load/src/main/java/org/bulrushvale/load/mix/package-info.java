/** The mix of classes and workspaces, and the random arrivals generated from it. */
package org.bulrushvale.load.mix;
