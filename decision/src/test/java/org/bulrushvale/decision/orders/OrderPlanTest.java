package org.bulrushvale.decision.orders;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Guards against engines that two entries drive to different states. */
public class OrderPlanTest {
    private static final int SEEDS = 300;
    private static final int SERVERS = 6;
    private static final int PLANNERS = 3;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void planners_with_changing_owners_and_lost_orders_converge() {
        System.out.println("OrderPlanTest: seeds 0.." + (SEEDS - 1));
        for (long seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Map<String, EngineState> engines = new HashMap<>();
            Map<String, Long> fences = new HashMap<>();
            int[] owners = new int[SERVERS];
            List<OrderPlan> planners = planners(owners);
            // when revisions arrive at different times, owners move half of the orders get lost and
            // half of the engines ignore the fence
            for (int step = 0; step < 120; step++) {
                boolean calm = step >= 60;
                long revision = Math.min(step / 10, 5) + 1;
                for (OrderPlan planner : planners) {
                    if (calm || random.nextBoolean()) {
                        planner.onConfig(config(revision));
                    }
                }
                if (!calm) {
                    owners[random.nextInt(SERVERS)] = random.nextInt(PLANNERS);
                }
                for (OrderPlan planner : planners) {
                    for (Order order : planner.due(Duration.ZERO)) {
                        long fence = fences.getOrDefault(order.server(), 0L);
                        boolean checksFence = order.server().hashCode() % 2 == 0;
                        boolean taken = !checksFence || order.fence() >= fence;
                        if (random.nextBoolean() && taken) {
                            engines.put(order.server(), order.target());
                            fences.put(order.server(), order.fence());
                        }
                    }
                    engines.forEach(planner::onReport);
                }
                mClock.advance(Duration.ofSeconds(1));
            }
            // then
            assertThat(engines).as("seed %d", seed).hasSize(SERVERS);
            assertThat(engines.values()).allMatch(state -> state.models().contains("ranker@6"));
            planners.forEach(planner -> assertThat(planner.due(Duration.ZERO)).isEmpty());
        }
    }

    @Test
    public void no_order_from_an_old_view_or_below_the_highest_known_revision() {
        // given
        OrderPlan plan = planners(new int[SERVERS]).get(0);
        plan.onConfig(config(7));
        // then
        assertThat(plan.due(Duration.ofSeconds(5))).isEmpty();
        plan.onRevisionSeen(8);
        assertThat(plan.due(Duration.ZERO)).isEmpty();
        plan.onConfig(config(8));
        plan.onConfig(config(7));
        mClock.advance(Duration.ofSeconds(60));
        assertThat(plan.due(Duration.ZERO)).isNotEmpty().allMatch(order -> order.fence() == 8);
    }

    @Test
    public void only_the_owner_sends() {
        int[] owners = new int[SERVERS];
        List<OrderPlan> planners = planners(owners);
        planners.forEach(planner -> planner.onConfig(config(1)));
        mClock.advance(Duration.ofSeconds(60));
        assertThat(planners.get(0).due(Duration.ZERO)).isNotEmpty();
        assertThat(planners.get(1).due(Duration.ZERO)).isEmpty();
    }

    @Test
    public void loads_of_all_entries_stay_within_the_rate_of_the_weight_store() {
        // given a store that serves 0.3 loads per second to 3 entries
        List<WeightStoreShare> shares = new ArrayList<>();
        for (int i = 0; i < PLANNERS; i++) {
            shares.add(new WeightStoreShare(mClock, 0.3, () -> PLANNERS));
        }
        // when
        int loads = 0;
        for (int second = 0; second < 1_000; second++) {
            mClock.advance(Duration.ofSeconds(1));
            for (WeightStoreShare share : shares) {
                loads += share.tryTake(2) ? 2 : 0;
            }
        }
        // then each entry may be one load ahead
        assertThat(loads).isBetween(280, 300 + PLANNERS);
    }

    private List<OrderPlan> planners(int[] owners) {
        DesiredStates desired =
                (server, config) ->
                        Optional.of(
                                new EngineState(
                                        server.pool(),
                                        Set.of("ranker@" + config.revision()),
                                        Set.of()));
        List<OrderPlan> planners = new ArrayList<>();
        for (int i = 0; i < PLANNERS; i++) {
            int self = i;
            planners.add(
                    new OrderPlan(
                            mClock,
                            desired,
                            server -> owners[server.port()] == self,
                            new WeightStoreShare(mClock, 10, () -> PLANNERS)));
        }
        return planners;
    }

    private static PublishedConfig config(long revision) {
        PublishedConfig.Builder builder = PublishedConfig.builder(revision);
        for (int i = 0; i < SERVERS; i++) {
            builder.addBackend(
                    new BackendServer("s" + i, "rankers", "127.0.0.1", i, "a", 8, 2, false));
        }
        return builder.build();
    }
}
