/** HTTP listener of the stand-ins: requests, event streams, and abrupt ends of connections. */
package org.bulrushvale.standin.http;
