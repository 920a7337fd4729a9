/** Simulates a model runner, a server that generates tokens. */
package org.bulrushvale.standin.model;
