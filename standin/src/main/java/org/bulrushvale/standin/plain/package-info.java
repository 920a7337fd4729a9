/** Stand-in of a plain service whose calls may not be repeated. */
package org.bulrushvale.standin.plain;
