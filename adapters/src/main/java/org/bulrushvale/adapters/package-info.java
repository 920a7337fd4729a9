/**
 * Adapters between the entry daemon and callers, operators, peers, backend servers and platform.
 */
package org.bulrushvale.adapters;
