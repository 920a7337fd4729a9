/** Stand-ins of the systems outside this repository, for tests and the quickstart. */
package org.bulrushvale.standin;
