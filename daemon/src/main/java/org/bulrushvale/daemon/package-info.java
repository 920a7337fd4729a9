/** The entry daemon: wiring, requests in progress, graceful shutdown. */
package org.bulrushvale.daemon;
