/** Simulates the platform's configuration service, which also serves the VM list. */
package org.bulrushvale.standin.config;
