/** Requests to entries and the check of their answers. */
package org.bulrushvale.load.client;
