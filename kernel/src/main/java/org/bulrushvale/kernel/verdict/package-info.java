/** Verdicts, advice and checked errors. */
package org.bulrushvale.kernel.verdict;
