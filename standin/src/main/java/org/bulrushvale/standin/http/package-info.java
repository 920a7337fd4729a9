/** HTTP listener of the stand-ins: requests, event streams and simulated connection failures. */
package org.bulrushvale.standin.http;
