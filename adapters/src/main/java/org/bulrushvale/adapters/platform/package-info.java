/** Reader of the platform's configuration service and VM list. */
package org.bulrushvale.adapters.platform;
