/** Verdicts, advice to callers and checked exceptions. */
package org.bulrushvale.kernel.verdict;
