/** HTTP client for backend servers. */
package org.bulrushvale.adapters.backend;
