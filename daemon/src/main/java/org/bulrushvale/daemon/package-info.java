/** The entry daemon: startup, requests in progress and graceful shutdown. */
package org.bulrushvale.daemon;
