/**
 * Stand-ins: simulated versions of the external systems that the serving system talks to, with
 * faults that can be injected. Tests and the quickstart use them.
 */
package org.bulrushvale.standin;
