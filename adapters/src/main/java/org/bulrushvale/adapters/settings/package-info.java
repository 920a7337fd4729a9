/** Settings of the entry daemon: INI file, complete check, typed values. */
package org.bulrushvale.adapters.settings;
