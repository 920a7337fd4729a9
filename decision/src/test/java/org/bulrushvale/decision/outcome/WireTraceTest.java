package org.bulrushvale.decision.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.bulrushvale.decision.outcome.AttemptStateMachine.Event;
import org.bulrushvale.kernel.verdict.Verdict;
import org.testng.annotations.Test;

/** Guards against a verdict that claims less than what may have happened on the wire. */
public class WireTraceTest {
    private static final int DEPTH = 6;
    private static final Set<Event> ENDS =
            EnumSet.of(
                    Event.CONNECT_FAILED,
                    Event.TYPED_REFUSAL,
                    Event.BAD_ANSWER,
                    Event.RESET,
                    Event.TIMEOUT,
                    Event.CANCEL);

    private int mChecked;

    @Test
    public void every_event_order_agrees_with_the_oracle_and_never_lowers_an_ended_attempt() {
        explore(new ArrayList<>());
        System.out.println("WireTrace event orders checked: " + mChecked);
        assertThat(mChecked).isEqualTo(597_871); // sum of 9^n for n = 0..6
    }

    private void explore(List<Event> order) {
        mChecked++;
        AttemptStateMachine trace = new AttemptStateMachine();
        for (Event event : order) {
            Verdict before = trace.verdict();
            boolean ended = trace.hasEnded();
            trace.on(event);
            if (ended && (trace.verdict().compareTo(before) < 0 || !trace.hasEnded())) {
                throw new AssertionError("lowered or reopened after the end: " + order);
            }
        }
        if (trace.verdict() != oracle(order)) {
            throw new AssertionError(order + " gave " + trace.verdict());
        }
        if (order.size() < DEPTH) {
            for (Event event : Event.values()) {
                order.add(event);
                explore(order);
                order.remove(order.size() - 1);
            }
        }
    }

    /** Judges the whole list at once, without states. */
    private static Verdict oracle(List<Event> order) {
        if (order.contains(Event.COMPLETE_ANSWER)) {
            return Verdict.RAN;
        }
        int sent = order.indexOf(Event.FIRST_BYTE);
        if (sent < 0) {
            return Verdict.NOT_RUN;
        }
        for (int i = 0; i < order.size(); i++) {
            if (ENDS.contains(order.get(i))) {
                boolean refused = order.get(i) == Event.TYPED_REFUSAL && i > sent;
                return refused ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
            }
        }
        return Verdict.MAY_HAVE_RUN;
    }
}
