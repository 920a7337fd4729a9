package org.bulrushvale.decision.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing: every process that knows the same candidates ranks them alike for a key, and
 * removing one candidate moves only the keys that it had won.
 *
 * <p>Invariant: the rank depends only on the key and the candidate names. Thread safety: stateless.
 */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Rendezvous() {}

    /** Returns the hash of a name, to be kept when many pairs are scored. */
    public static long hash(String name) {
        return HASH.hashChars(name);
    }

    /** Returns the score of a candidate for a key; the highest wins. */
    public static long score(long keyHash, long candidateHash) {
        return HASH.hashLong(keyHash ^ Long.rotateLeft(candidateHash, 31));
    }

    /** Returns the candidates for a key, winner first. */
    public static List<String> ranked(String key, Collection<String> candidates) {
        long keyHash = hash(key);
        return candidates.stream()
                .map(name -> new Scored(score(keyHash, hash(name)), name))
                .sorted(Scored.WINNER_FIRST)
                .map(Scored::name)
                .toList();
    }

    /** Returns the winner for a key, empty when there is no candidate. */
    public static Optional<String> winner(String key, Collection<String> candidates) {
        long keyHash = hash(key);
        return candidates.stream()
                .map(name -> new Scored(score(keyHash, hash(name)), name))
                .min(Scored.WINNER_FIRST)
                .map(Scored::name);
    }

    /**
     * A candidate with its score; equal scores are ordered by name.
     *
     * <p>Thread safety: immutable.
     */
    private record Scored(long score, String name) {
        static final Comparator<Scored> WINNER_FIRST =
                Comparator.comparingLong(Scored::score).reversed().thenComparing(Scored::name);
    }
}
