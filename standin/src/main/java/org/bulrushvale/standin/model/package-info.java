/** Stand-in of a model engine. */
package org.bulrushvale.standin.model;
