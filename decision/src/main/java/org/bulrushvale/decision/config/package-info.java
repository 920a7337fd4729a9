/** The published configuration: model, parser and the store of the accepted revision. */
package org.bulrushvale.decision.config;
