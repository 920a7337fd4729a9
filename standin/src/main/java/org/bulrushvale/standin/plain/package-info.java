/** Simulates a plain service whose calls must not be repeated. */
package org.bulrushvale.standin.plain;
