/** Simulates the servers of an encoder, retriever or reranker pool. */
package org.bulrushvale.standin.pool;
