package org.bulrushvale.kernel.verdict;

/**
 * States whether a request, or one attempt of it, may have run on a backend server.
 *
 * <p>Invariant: the constants are ordered from no execution to certain execution; the verdict of a
 * request is the greatest verdict of its attempts.
 *
 * <pre>{@code
 * Verdict request = Verdict.NOT_RUN.combinedWith(Verdict.MAY_HAVE_RUN); // MAY_HAVE_RUN
 * }</pre>
 *
 * <p>Thread safety: immutable.
 */
public enum Verdict {
    /** No backend server has started the work, and none will. */
    NOT_RUN {
        @Override
        public boolean isSafeToRepeat() {
            return true;
        }
    },
    /** It is not known whether a backend server ran the work. */
    MAY_HAVE_RUN,
    /** A backend server ran the work. */
    RAN;

    /** Returns true when even a non-idempotent request may be sent again. */
    public boolean isSafeToRepeat() {
        return false;
    }

    /** Returns the verdict of two attempts of one request together, which is the greater one. */
    public Verdict combinedWith(Verdict other) {
        return compareTo(other) >= 0 ? this : other;
    }
}
