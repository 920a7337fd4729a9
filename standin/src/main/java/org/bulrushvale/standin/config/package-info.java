/** Stand-in of the platform's configuration service and VM list. */
package org.bulrushvale.standin.config;
