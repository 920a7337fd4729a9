/** Stand-in of an encoder, retriever or reranker. */
package org.bulrushvale.standin.pool;
