/** Settings of the entry daemon: INI file, complete validation, typed values. */
package org.bulrushvale.adapters.settings;
