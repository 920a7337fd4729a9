/** Identifiers of requests. */
package org.bulrushvale.kernel.id;
