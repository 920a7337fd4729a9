/** What an entry daemon exchanges with the platform and with its peers. */
package org.bulrushvale.daemon.fleet;
