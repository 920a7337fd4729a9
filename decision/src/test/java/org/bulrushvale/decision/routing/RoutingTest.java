package org.bulrushvale.decision.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.FailureDomain;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.warmup.ReportedLoad;
import org.bulrushvale.decision.warmup.ReportedState;
import org.testng.annotations.Test;

/**
 * Guards against requests to servers that are out of service, leaving, excluded or at their limit,
 * against many requests to the same few servers between two load reports, and against prefixes that
 * count as cached although their eviction was missed.
 */
public class RoutingTest {
    private static final long SEED = 4_400L;

    private static BackendServer server(String name, String pool, String domain, boolean leaving) {
        return new BackendServer(name, pool, "10.0.0.1", 80, domain, 8, 2, leaving);
    }

    private static PublishedConfig randomConfig(long revision, Random random) {
        PublishedConfig.Builder builder = PublishedConfig.builder(revision);
        for (int d = 0; d < 4; d++) {
            builder.addDomain(new FailureDomain("d" + d, "r", random.nextInt(3) != 0));
        }
        for (int i = 0; i < 12; i++) {
            if (random.nextInt(4) != 0) {
                String domain = "d" + random.nextInt(4);
                String pool = "p" + random.nextInt(2);
                builder.addBackend(server("s" + i, pool, domain, random.nextInt(4) == 0));
            }
        }
        return builder.build();
    }

    @Test
    public void both_policies_choose_a_server_exactly_when_a_simple_filter_allows_one() {
        System.out.println("routing seed " + SEED);
        for (RoutingPolicy policy :
                List.of(PowerOfTwoPolicy.seeded(SEED), new RoundRobinPolicy())) {
            Random random = new Random(SEED);
            BackendTable table = new BackendTable();
            for (int round = 1; round <= 3_000; round++) {
                PublishedConfig config = randomConfig(round, random);
                table.applyConfig(config);
                Map<String, Integer> limits = new HashMap<>();
                Set<String> excluded = new HashSet<>();
                for (int i = 0; i < 12; i++) {
                    limits.put("s" + i, random.nextInt(4));
                    if (random.nextInt(5) == 0) {
                        excluded.add("s" + i);
                    }
                    String server = "s" + i;
                    table.applyCacheEvents(server, List.of(new CacheEvent(round, true, "prefix")));
                }
                Set<String> allowed =
                        config.backends().stream()
                                .filter(b -> b.pool().equals("p0") && !b.leaving())
                                .filter(
                                        b ->
                                                config.domain(b.failureDomain())
                                                        .orElseThrow()
                                                        .inService())
                                .map(BackendServer::name)
                                .filter(name -> !excluded.contains(name))
                                .filter(name -> outstanding(table, name) < limits.get(name))
                                .collect(Collectors.toSet());
                RoutingRequest request = new RoutingRequest("p0", "d1", "prefix", excluded);
                Optional<BackendState> chosen =
                        policy.choose(request, table, (name, now) -> limits.get(name), 0);
                assertThat(chosen.isPresent()).isEqualTo(!allowed.isEmpty());
                chosen.ifPresent(b -> assertThat(allowed).contains(b.server().name()));
                chosen.ifPresent(b -> table.recordStart(b.server().name()));
                table.recordEnd("s" + random.nextInt(12));
            }
        }
    }

    private static int outstanding(BackendTable table, String name) {
        return table.backend(name).map(BackendState::outstanding).orElse(0);
    }

    private static BackendTable tableWithPool(int size) {
        PublishedConfig.Builder builder = PublishedConfig.builder(1);
        builder.addDomain(new FailureDomain("d", "r", true));
        for (int i = 0; i < size; i++) {
            builder.addBackend(server("s" + i, "p", "d", false));
        }
        BackendTable table = new BackendTable();
        table.applyConfig(builder.build());
        return table;
    }

    @Test
    public void a_gap_in_cache_events_removes_prefixes_that_may_have_been_evicted() {
        BackendTable table = tableWithPool(2);
        table.applyCacheEvents("s1", List.of(new CacheEvent(5, true, "a")));
        table.applyCacheEvents("s1", List.of(new CacheEvent(5, false, "a")));
        assertThat(table.holders("a")).hasSize(1);
        table.applyCacheEvents("s1", List.of(new CacheEvent(8, true, "b")));
        assertThat(table.holders("a")).isEmpty();
        assertThat(table.holders("b")).hasSize(1);
    }

    @Test
    public void requests_spread_over_the_pool_while_load_reports_stay_the_same() {
        // given 1,200 servers with one load report each
        BackendTable table = tableWithPool(1_200);
        for (int i = 0; i < 1_200; i++) {
            table.applyReport(new ReportedLoad("s" + i, "e", ReportedState.WARM, 8, 2, 0, 0), 1);
        }
        // when 2,400 requests are routed without a new report
        RoutingPolicy policy = PowerOfTwoPolicy.seeded(SEED);
        RoutingRequest request = new RoutingRequest("p", "d", "", Set.of());
        for (int i = 0; i < 2_400; i++) {
            BackendState chosen = policy.choose(request, table, (name, now) -> 8, 0).orElseThrow();
            table.recordStart(chosen.server().name());
        }
        // then no server gets many more than the average of two
        int highest =
                table.pool("p").stream().mapToInt(BackendState::outstanding).max().orElseThrow();
        assertThat(highest).isLessThanOrEqualTo(5);
    }
}
