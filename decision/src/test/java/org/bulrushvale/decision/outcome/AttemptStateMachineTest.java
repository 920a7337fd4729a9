package org.bulrushvale.decision.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.bulrushvale.decision.outcome.AttemptStateMachine.Event;
import org.bulrushvale.kernel.verdict.Verdict;
import org.testng.annotations.Test;

/** Guards against an attempt verdict that is lower than its events imply. */
public class AttemptStateMachineTest {
    private static final int DEPTH = 6;
    private static final Set<Event> ENDS =
            EnumSet.of(
                    Event.CONNECT_FAILED,
                    Event.TYPED_REFUSAL,
                    Event.BAD_ANSWER,
                    Event.RESET,
                    Event.TIMEOUT,
                    Event.CANCEL);

    private int mOrdersChecked;

    @Test
    public void
            every_order_of_events_gives_the_expected_verdict_and_never_lowers_it_after_the_end() {
        explore(new ArrayList<>());
        System.out.println("AttemptStateMachine event orders checked: " + mOrdersChecked);
        assertThat(mOrdersChecked).isEqualTo(597_871); // sum of 9^n for n = 0..6
    }

    private void explore(List<Event> order) {
        mOrdersChecked++;
        AttemptStateMachine attempt = new AttemptStateMachine();
        for (Event event : order) {
            Verdict before = attempt.verdict();
            boolean ended = attempt.hasEnded();
            attempt.on(event);
            if (ended && (attempt.verdict().compareTo(before) < 0 || !attempt.hasEnded())) {
                throw new AssertionError(
                        "verdict lowered or attempt reopened after its end: " + order);
            }
        }
        if (attempt.verdict() != expectedVerdict(order)) {
            throw new AssertionError(order + " gave " + attempt.verdict());
        }
        if (order.size() < DEPTH) {
            for (Event event : Event.values()) {
                order.add(event);
                explore(order);
                order.remove(order.size() - 1);
            }
        }
    }

    /** Derives the verdict from the whole list of events, without states. */
    private static Verdict expectedVerdict(List<Event> order) {
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
