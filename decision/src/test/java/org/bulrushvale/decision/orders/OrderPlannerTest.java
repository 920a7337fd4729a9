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

/**
 * Guards against two entries that send an engine orders for different states, against orders from
 * an outdated configuration, and against loads of weights beyond the rate of the weight store.
 */
public class OrderPlannerTest {
    private static final int SEEDS = 300;
    private static final int SERVERS = 6;
    private static final int PLANNERS = 3;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @Test
    public void engines_converge_despite_changing_owners_and_lost_orders() {
        System.out.println("OrderPlannerTest: seeds 0.." + (SEEDS - 1));
        for (long seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            Map<String, EngineState> engines = new HashMap<>();
            Map<String, Long> fencingTokens = new HashMap<>();
            int[] owners = new int[SERVERS];
            List<OrderPlanner> planners = planners(owners);
            // when revisions arrive at different times, owners change, half of the orders are lost
            // and half of the engines do not check the fencing token
            for (int step = 0; step < 120; step++) {
                boolean stable = step >= 60;
                long revision = Math.min(step / 10, 5) + 1;
                for (OrderPlanner planner : planners) {
                    if (stable || random.nextBoolean()) {
                        planner.onConfig(config(revision));
                    }
                }
                if (!stable) {
                    owners[random.nextInt(SERVERS)] = random.nextInt(PLANNERS);
                }
                for (OrderPlanner planner : planners) {
                    for (EngineOrder order : planner.dueOrders(Duration.ZERO)) {
                        long lastToken = fencingTokens.getOrDefault(order.server(), 0L);
                        boolean checksToken = order.server().hashCode() % 2 == 0;
                        boolean taken = !checksToken || order.fencingToken() >= lastToken;
                        if (random.nextBoolean() && taken) {
                            engines.put(order.server(), order.target());
                            fencingTokens.put(order.server(), order.fencingToken());
                        }
                    }
                    engines.forEach(planner::onReport);
                }
                mClock.advance(Duration.ofSeconds(1));
            }
            // then
            assertThat(engines).as("seed %d", seed).hasSize(SERVERS);
            assertThat(engines.values()).allMatch(state -> state.models().contains("ranker@6"));
            planners.forEach(planner -> assertThat(planner.dueOrders(Duration.ZERO)).isEmpty());
        }
    }

    @Test
    public void unconfirmed_or_outdated_configuration_gives_no_orders() {
        // given
        OrderPlanner planner = planners(new int[SERVERS]).get(0);
        planner.onConfig(config(7));
        // then
        assertThat(planner.dueOrders(Duration.ofSeconds(5))).isEmpty();
        planner.onRevisionSeen(8);
        assertThat(planner.dueOrders(Duration.ZERO)).isEmpty();
        planner.onConfig(config(8));
        planner.onConfig(config(7));
        mClock.advance(Duration.ofSeconds(60));
        assertThat(planner.dueOrders(Duration.ZERO))
                .isNotEmpty()
                .allMatch(order -> order.fencingToken() == 8);
    }

    @Test
    public void only_the_owner_of_a_server_sends_orders() {
        int[] owners = new int[SERVERS];
        List<OrderPlanner> planners = planners(owners);
        planners.forEach(planner -> planner.onConfig(config(1)));
        mClock.advance(Duration.ofSeconds(60));
        assertThat(planners.get(0).dueOrders(Duration.ZERO)).isNotEmpty();
        assertThat(planners.get(1).dueOrders(Duration.ZERO)).isEmpty();
    }

    @Test
    public void loads_by_all_entries_stay_within_the_rate_of_the_weight_store() {
        // given a store that serves 0.3 loads per second to 3 entries
        List<WeightLoadRateLimiter> shares = new ArrayList<>();
        for (int i = 0; i < PLANNERS; i++) {
            shares.add(new WeightLoadRateLimiter(mClock, 0.3, () -> PLANNERS));
        }
        // when
        int loads = 0;
        for (int second = 0; second < 1_000; second++) {
            mClock.advance(Duration.ofSeconds(1));
            for (WeightLoadRateLimiter share : shares) {
                loads += share.tryAcquire(2) ? 2 : 0;
            }
        }
        // then each entry may be one load ahead
        assertThat(loads).isBetween(280, 300 + PLANNERS);
    }

    private List<OrderPlanner> planners(int[] owners) {
        DesiredStateRule desired =
                (server, config) ->
                        Optional.of(
                                new EngineState(
                                        server.pool(),
                                        Set.of("ranker@" + config.revision()),
                                        Set.of()));
        List<OrderPlanner> planners = new ArrayList<>();
        for (int i = 0; i < PLANNERS; i++) {
            int self = i;
            planners.add(
                    new OrderPlanner(
                            mClock,
                            desired,
                            server -> owners[server.port()] == self,
                            new WeightLoadRateLimiter(mClock, 10, () -> PLANNERS)));
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
