/** HTTP listener for operators. */
package org.bulrushvale.adapters.operator;
