/** Sends requests to entries and checks their answers. */
package org.bulrushvale.load.client;
