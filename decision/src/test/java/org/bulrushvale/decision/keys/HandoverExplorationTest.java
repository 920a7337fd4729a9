package org.bulrushvale.decision.keys;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Explores all orders of steps of a small fleet up to a fixed depth. Guards against a key that runs
 * twice, a false NOT_RUN and the answer of another body, caused by lost, duplicated, late or
 * reordered messages, by restarts and pauses, and by handovers. Tests that disable one rule at a
 * time show that the exploration finds the violation that the rule prevents.
 */
public class HandoverExplorationTest {
    // Each disabled rule is found within six steps. Depth 7 takes about 40 s, depth 8 five minutes.
    private static final int DEPTH = Integer.getInteger("exploration.depth", 6);

    @Test
    public void no_order_of_steps_runs_a_key_twice_or_gives_a_false_answer() {
        Exploration exploration = new Exploration(new HandoverRules(), DEPTH, 3, 3, 1, 1, 2);
        assertThat(exploration.mViolation).isEmpty();
        assertThat(exploration.mStateCount).isGreaterThan(100_000);
    }

    @DataProvider
    public Object[][] disabledRules() {
        return new Object[][] {
            {
                "a space is offered to a second successor",
                new HandoverRules() {
                    @Override
                    boolean mayOfferTo(KeySpaceOffer earlier, long successor) {
                        return true;
                    }
                }
            },
            {
                "a restarted process adopts an offer to its previous incarnation",
                new HandoverRules() {
                    @Override
                    boolean isAddressedTo(long incarnation, KeySpaceOffer offer) {
                        return true;
                    }
                }
            },
            {
                "a process adopts a space that it has held before",
                new HandoverRules() {
                    @Override
                    boolean mayAdopt(boolean everHeld) {
                        return true;
                    }
                }
            }
        };
    }

    @Test(dataProvider = "disabledRules")
    public void disabled_rule_lets_a_key_run_twice(String description, HandoverRules rules) {
        Exploration exploration = new Exploration(rules, DEPTH, 3, 3, 1, 1, 2);
        System.out.println(description + ": " + exploration.mViolation);
        assertThat(exploration.mViolation).startsWith("key ran twice");
    }

    /** Breadth-first search over the steps of the model; each state is rebuilt from its steps. */
    private static final class Exploration {
        private final HandoverRules mRules;
        private final int[] mBudget;
        private final Set<BodyFingerprint> mSeenStates = new HashSet<>();
        private int mStateCount;
        private String mViolation = "";

        Exploration(HandoverRules rules, int depth, int... budget) {
            mRules = rules;
            mBudget = budget;
            List<int[][]> level = new ArrayList<>();
            level.add(new int[0][]);
            for (int d = 0; d < depth && mViolation.isEmpty(); d++) {
                level = nextLevel(level);
            }
            mStateCount = mSeenStates.size();
            System.out.println("states explored: " + mStateCount + " to depth " + depth);
        }

        private List<int[][]> nextLevel(List<int[][]> level) {
            List<int[][]> next = new ArrayList<>();
            for (int[][] path : level) {
                for (int[] step : replay(path).steps()) {
                    int[][] longer = Arrays.copyOf(path, path.length + 1);
                    longer[path.length] = step;
                    HandoverModel model = replay(longer);
                    if (!model.violation().isEmpty()) {
                        mViolation = model.violation() + " after " + stepsText(longer);
                        return List.of();
                    }
                    if (mSeenStates.add(fingerprint(model))) {
                        next.add(longer);
                    }
                }
            }
            return next;
        }

        private HandoverModel replay(int[][] path) {
            HandoverModel model = new HandoverModel(mRules, mBudget);
            for (int[] step : path) {
                model.apply(step);
            }
            return model;
        }

        private static String stepsText(int[][] path) {
            StringBuilder text = new StringBuilder();
            for (int[] step : path) {
                text.append((char) step[0]);
                Arrays.stream(step).skip(1).forEach(text::append);
                text.append(' ');
            }
            return text.toString().trim();
        }

        private static BodyFingerprint fingerprint(HandoverModel model) {
            byte[] text = model.stateText().getBytes(StandardCharsets.UTF_8);
            return BodyFingerprint.of("", "", text);
        }
    }
}
