/** External interfaces of the entry daemon. */
package org.bulrushvale.adapters;
