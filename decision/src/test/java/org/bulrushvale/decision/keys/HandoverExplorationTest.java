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
 * Explores every order of steps of a small fleet up to a fixed depth. Guards against a key that
 * runs twice, a false NOT_RUN and an answer of another body under lost, duplicated, late and
 * reordered messages, restarts, pauses and handovers. Rules removed one at a time show that the
 * exploration finds the violation that each of them prevents.
 */
public class HandoverExplorationTest {
    // Every broken rule is found within six steps. Depth 7 takes about 40 s, depth 8 five minutes.
    private static final int DEPTH = Integer.getInteger("exploration.depth", 6);

    @Test
    public void no_order_of_steps_violates_the_guarantees() {
        Exploration all = new Exploration(new HandoverRules(), DEPTH, 3, 3, 1, 1, 2);
        assertThat(all.mViolation).isEmpty();
        assertThat(all.mStates).isGreaterThan(100_000);
    }

    @DataProvider
    public Object[][] brokenRules() {
        return new Object[][] {
            {
                "a space is offered to a second successor",
                new HandoverRules() {
                    @Override
                    boolean mayOffer(KeySpaceOffer earlier, long successor) {
                        return true;
                    }
                }
            },
            {
                "a restarted process adopts an offer to its predecessor",
                new HandoverRules() {
                    @Override
                    boolean isAddressedTo(long incarnation, KeySpaceOffer offer) {
                        return true;
                    }
                }
            },
            {
                "a space that was here before is adopted again",
                new HandoverRules() {
                    @Override
                    boolean mayAdopt(boolean everHeld) {
                        return true;
                    }
                }
            }
        };
    }

    @Test(dataProvider = "brokenRules")
    public void a_removed_rule_is_found_out(String fault, HandoverRules rules) {
        Exploration broken = new Exploration(rules, DEPTH, 3, 3, 1, 1, 2);
        System.out.println(fault + ": " + broken.mViolation);
        assertThat(broken.mViolation).startsWith("key ran twice");
    }

    /** Breadth-first search over the steps of a fleet; states are rebuilt from their steps. */
    private static final class Exploration {
        private final HandoverRules mRules;
        private final int[] mBudget;
        private final Set<BodyFingerprint> mSeen = new HashSet<>();
        private int mStates;
        private String mViolation = "";

        Exploration(HandoverRules rules, int depth, int... budget) {
            mRules = rules;
            mBudget = budget;
            List<int[][]> level = new ArrayList<>();
            level.add(new int[0][]);
            for (int d = 0; d < depth && mViolation.isEmpty(); d++) {
                level = nextLevel(level);
            }
            mStates = mSeen.size();
            System.out.println("states explored: " + mStates + " to depth " + depth);
        }

        private List<int[][]> nextLevel(List<int[][]> level) {
            List<int[][]> next = new ArrayList<>();
            for (int[][] path : level) {
                for (int[] step : replay(path).steps()) {
                    int[][] longer = Arrays.copyOf(path, path.length + 1);
                    longer[path.length] = step;
                    Fleet fleet = replay(longer);
                    if (!fleet.violation().isEmpty()) {
                        mViolation = fleet.violation() + " after " + explain(longer);
                        return List.of();
                    }
                    if (mSeen.add(fingerprint(fleet))) {
                        next.add(longer);
                    }
                }
            }
            return next;
        }

        private Fleet replay(int[][] path) {
            Fleet fleet = new Fleet(mRules, mBudget);
            for (int[] step : path) {
                fleet.take(step);
            }
            return fleet;
        }

        private static String explain(int[][] path) {
            StringBuilder text = new StringBuilder();
            for (int[] step : path) {
                text.append((char) step[0]);
                Arrays.stream(step).skip(1).forEach(text::append);
                text.append(' ');
            }
            return text.toString().trim();
        }

        private static BodyFingerprint fingerprint(Fleet fleet) {
            byte[] text = fleet.canonical().getBytes(StandardCharsets.UTF_8);
            return BodyFingerprint.of("", "", text);
        }
    }
}
