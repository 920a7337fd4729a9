package org.bulrushvale.daemon.forward;

import java.util.Collection;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.decision.forward.ServerChoice;
import org.jspecify.annotations.Nullable;

/**
 * Uses one choice while a condition holds, else another.
 *
 * <p>Invariant: a call uses exactly one of the two. Thread safety: used on the event loop.
 */
final class SwitchedChoice implements ServerChoice {
    private final BooleanSupplier mCondition;
    private final ServerChoice mChoice;
    private final ServerChoice mOtherwise;

    SwitchedChoice(BooleanSupplier condition, ServerChoice choice, ServerChoice otherwise) {
        mCondition = condition;
        mChoice = choice;
        mOtherwise = otherwise;
    }

    private ServerChoice current() {
        return mCondition.getAsBoolean() ? mChoice : mOtherwise;
    }

    @Override
    public @Nullable Server choose(
            List<Server> eligible,
            Collection<String> tried,
            double coldRequestsPerSecond,
            Request request) {
        return current().choose(eligible, tried, coldRequestsPerSecond, request);
    }

    @Override
    public void recordSent(Server server, Request request) {
        current().recordSent(server, request);
    }

    @Override
    public List<Server> serversToProbe(
            List<Server> eligible,
            Collection<String> tried,
            double coldRequestsPerSecond,
            Request request) {
        return current().serversToProbe(eligible, tried, coldRequestsPerSecond, request);
    }

    @Override
    public Estimate lastEstimate() {
        return current().lastEstimate();
    }
}
