/** The mix of classes and workspaces, and the arrivals drawn from it. */
package org.bulrushvale.load.mix;
