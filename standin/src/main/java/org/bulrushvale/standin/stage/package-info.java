/** Simulated execution of stage calls for all backend servers: slots, queue, cold start, faults. */
package org.bulrushvale.standin.stage;
