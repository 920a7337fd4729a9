/** Identifiers. */
package org.bulrushvale.kernel.id;
