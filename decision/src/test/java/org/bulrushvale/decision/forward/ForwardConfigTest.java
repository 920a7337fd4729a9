package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushvale.decision.forward.ForwardConfig.Workspace;
import org.bulrushvale.decision.forward.Route.RouteStage;
import org.bulrushvale.decision.forward.Route.Target;
import org.testng.annotations.Test;

/** Guards against requests that use the wrong route, service, stages or workspace. */
public class ForwardConfigTest {
    static Route route(String name, String prefix, RequestKind kind, List<RouteStage> stages) {
        return new Route(
                name,
                "a.example",
                prefix,
                kind,
                Duration.ofSeconds(6),
                Duration.ofSeconds(1),
                0,
                2,
                List.of(new Target("pool", 1)),
                stages,
                false,
                true,
                Optional.empty());
    }

    @Test
    public void a_request_uses_the_route_with_the_longest_prefix_of_its_host() {
        // given
        ForwardConfig config =
                ForwardConfig.withKeys(
                        7,
                        List.of(
                                route("short", "/a/", RequestKind.SAFE, List.of()),
                                route("long", "/a/b/", RequestKind.SAFE, List.of())),
                        List.of(),
                        Map.of("key", new Workspace("city", Optional.empty())));
        // then
        assertThat(config.route("a.example", "/a/b/c").map(Route::name)).contains("long");
        assertThat(config.route("a.example", "/a/c").map(Route::name)).contains("short");
        assertThat(config.route("a.example", "/ab")).isEmpty();
        assertThat(config.route("b.example", "/a/b/c")).isEmpty();
        assertThat(config.workspace("key").map(Workspace::name)).contains("city");
        assertThat(config.workspace("")).isEmpty();
    }

    /** Before the fix a configuration without keys opened every route to everybody. */
    @Test
    public void callers_need_a_key_also_when_the_last_one_was_revoked() {
        Route route = route("r", "/a/", RequestKind.UNSAFE, List.of());
        Workspace city = new Workspace("city", Optional.empty());
        for (Map<String, Workspace> keys : List.of(Map.of("key", city), Map.of("", city))) {
            ForwardConfig config = ForwardConfig.withKeys(7, List.of(route), List.of(), keys);
            assertThat(config.requiresKey(route)).isTrue();
            assertThat(config.workspace("")).isEmpty();
        }
        assertThat(
                        ForwardConfig.withKeys(8, List.of(route), List.of(), Map.of())
                                .requiresKey(route))
                .isTrue();
        assertThat(ForwardConfig.withoutKeys(9, List.of(route), List.of()).requiresKey(route))
                .isFalse();
    }

    @Test
    public void a_route_with_two_services_splits_by_weight_and_keeps_a_request_on_one() {
        // given
        Route plain = route("r", "/a/", RequestKind.UNSAFE, List.of());
        Route split =
                new Route(
                        plain.name(),
                        plain.host(),
                        plain.prefix(),
                        plain.kind(),
                        plain.timeout(),
                        plain.latencyTarget(),
                        0,
                        1,
                        List.of(new Target("x", 90), new Target("y", 10)),
                        List.of(),
                        false,
                        false,
                        Optional.empty());
        // when
        long toX = 0;
        for (long hash = -500; hash < 500; hash++) {
            assertThat(split.selectService(hash)).isEqualTo(split.selectService(hash));
            toX += split.selectService(hash).equals("x") ? 1 : 0;
        }
        // then
        assertThat(toX).isEqualTo(900);
    }

    @Test
    public void only_stages_without_dependents_feed_the_final_request() {
        // given: a chain of three and one independent stage
        Route route =
                route(
                        "r",
                        "/a/",
                        RequestKind.STREAM,
                        List.of(
                                new RouteStage("s", List.of(), 10),
                                new RouteStage("t", List.of(0), 10),
                                new RouteStage("u", List.of(1), 10),
                                new RouteStage("v", List.of(), 10)));
        // then
        assertThat(route.finalStages(List.of(1, 2, 3, 1))).containsExactly(2, 3);
        assertThat(route.finalStages(List.of(1, 2, 3, 0))).containsExactly(2);
    }

    @Test
    public void a_stream_that_cannot_be_resumed_is_never_repeated() {
        assertThat(RequestKind.STREAM.mayRepeat(false)).isFalse();
        assertThat(RequestKind.STREAM.mayRepeat(true)).isTrue();
        assertThat(RequestKind.UNSAFE.mayRepeat(true)).isFalse();
        assertThat(RequestKind.SAFE.mayRepeat(false)).isTrue();
    }
}
