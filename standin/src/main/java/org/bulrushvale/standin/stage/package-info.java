/** Stage execution shared by the backend server stand-ins: slots, queue, cold start and faults. */
package org.bulrushvale.standin.stage;
