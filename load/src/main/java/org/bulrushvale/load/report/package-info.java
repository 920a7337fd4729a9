/** Counts, latency histograms, report files and plots. */
package org.bulrushvale.load.report;
