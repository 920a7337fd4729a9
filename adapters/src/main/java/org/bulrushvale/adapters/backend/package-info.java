/** HTTP client side towards backend servers. */
package org.bulrushvale.adapters.backend;
