/** Base types of all modules: clocks, verdicts, identifiers, event loop and plug-ins. */
package org.bulrushvale.kernel;
