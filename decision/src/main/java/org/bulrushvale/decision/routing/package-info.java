/** Choice of a backend server for a stage. */
package org.bulrushvale.decision.routing;
