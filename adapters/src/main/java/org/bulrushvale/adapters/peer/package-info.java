/** Messages between the system's own processes over TCP with MessagePack. */
package org.bulrushvale.adapters.peer;
