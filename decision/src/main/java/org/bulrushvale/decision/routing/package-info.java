/** Choice of the backend server for a stage. */
package org.bulrushvale.decision.routing;
