package org.bulrushvale.decision.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing. Every process that knows the same candidates ranks them in the same order for
 * a key, and removing a candidate moves only the keys for which it ranked first.
 *
 * <p>Invariant: the rank depends only on the key and the candidate names. Thread safety: stateless.
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Rendezvous() {}

    /** Returns the hash of a key or candidate, which callers that score many pairs can reuse. */
    public static long hash(String name) {
        return HASH.hashChars(name);
    }

    /** Returns the score of a candidate for a key; the candidate with the highest score wins. */
    public static long score(long keyHash, long candidateHash) {
        return HASH.hashLong(keyHash ^ Long.rotateLeft(candidateHash, 31));
    }

    /** Returns the candidates for a key, winner first. */
    public static List<String> ranked(String key, Collection<String> candidates) {
        long keyHash = hash(key);
        return candidates.stream()
                .map(name -> new ScoredCandidate(score(keyHash, hash(name)), name))
                .sorted(ScoredCandidate.HIGHEST_SCORE_FIRST)
                .map(ScoredCandidate::name)
                .toList();
    }

    /** Returns the winner for a key, empty when there is no candidate. */
    public static Optional<String> winner(String key, Collection<String> candidates) {
        long keyHash = hash(key);
        return candidates.stream()
                .map(name -> new ScoredCandidate(score(keyHash, hash(name)), name))
                .min(ScoredCandidate.HIGHEST_SCORE_FIRST)
                .map(ScoredCandidate::name);
    }

    /**
     * A candidate with its score; equal scores are ordered by name.
     *
     * <p>Thread safety: immutable.
     */
    private record ScoredCandidate(long score, String name) {
        static final Comparator<ScoredCandidate> HIGHEST_SCORE_FIRST =
                Comparator.comparingLong(ScoredCandidate::score)
                        .reversed()
                        .thenComparing(ScoredCandidate::name);
    }
}
