/**
 * Settings of the entry daemon and of the forwarding entry: INI file, complete validation, typed
 * values.
 */
package org.bulrushvale.adapters.settings;
