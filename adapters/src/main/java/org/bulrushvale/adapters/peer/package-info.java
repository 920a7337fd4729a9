/** Messages between the processes of a fleet, over TCP with MessagePack. */
package org.bulrushvale.adapters.peer;
