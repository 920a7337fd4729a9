/** Communication of an entry daemon with the platform and with its peers. */
package org.bulrushvale.daemon.fleet;
