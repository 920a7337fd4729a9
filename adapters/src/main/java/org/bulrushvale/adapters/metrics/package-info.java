/** Metrics in Prometheus text format. */
package org.bulrushvale.adapters.metrics;
