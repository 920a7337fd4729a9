package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One published route.
 *
 * <p>Invariant: a usable route has at least one target; each stage comes after the stages whose
 * results it needs. Thread safety: immutable.
 *
 * @param prefix path prefix; begins and ends with a slash
 * @param timeout longest time that a caller is kept waiting
 * @param latencyTarget time within which an answer has its full value to operators
 * @param priority rank of its requests; 0 is the most important
 * @param maxAttempts maximum number of backend servers that one request may be sent to
 * @param targets services that run the final request, by weight
 * @param stages stages that run before the final request
 * @param allowsAnonymous true when callers need no API key
 * @param resumable true when a stream can be continued after the last event that was delivered
 * @param longestPause longest pause between events of a stream that is still in time; empty when
 *     the route states none
 */
public record Route(
        String name,
        String host,
        String prefix,
        RequestKind kind,
        Duration timeout,
        Duration latencyTarget,
        int priority,
        int maxAttempts,
        List<Target> targets,
        List<RouteStage> stages,
        boolean allowsAnonymous,
        boolean resumable,
        Optional<Duration> longestPause) {
    // A caller waits at least this long for the next event of a stream.
    private static final Duration MIN_PATIENCE = Duration.ofSeconds(2);
    private static final int PATIENCE_TARGETS = 4;
    private static final int PATIENCE_PAUSES = 8;

    public Route {
        targets = List.copyOf(targets);
        stages = List.copyOf(stages);
    }

    /** Returns a route of which only host and prefix are known; its requests are refused. */
    public static Route unusable(String name, String host, String prefix) {
        return new Route(
                name,
                host,
                prefix,
                RequestKind.UNSAFE,
                Duration.ZERO,
                Duration.ZERO,
                0,
                1,
                List.of(),
                List.of(),
                false,
                false,
                Optional.empty());
    }

    /** Returns true when the route has a service for its requests. */
    public boolean isUsable() {
        return !targets.isEmpty();
    }

    /**
     * Returns how long a caller waits for the first event of a stream, from the arrival of its
     * request: the longest of 2 s, four latency targets and eight longest pauses. Empty for other
     * kinds of requests and when the route states no longest pause.
     */
    public Optional<Duration> callerPatience() {
        if (kind != RequestKind.STREAM) {
            return Optional.empty();
        }
        return longestPause.map(
                pause ->
                        longer(
                                MIN_PATIENCE,
                                longer(
                                        latencyTarget.multipliedBy(PATIENCE_TARGETS),
                                        pause.multipliedBy(PATIENCE_PAUSES))));
    }

    private static Duration longer(Duration first, Duration second) {
        return first.compareTo(second) > 0 ? first : second;
    }

    /** Returns true when a request that may have run may be sent again. */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /**
     * Returns the service for a request, chosen by weight; the same hash always gives the same one.
     *
     * @param hash hash of the request's id
     */
    public String selectService(long hash) {
        long totalWeight = 0;
        for (Target target : targets) {
            totalWeight += target.weight();
        }
        if (totalWeight <= 0) {
            return targets.get(0).service();
        }
        long remainder = Math.floorMod(hash, totalWeight);
        for (Target target : targets) {
            remainder -= target.weight();
            if (remainder < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    /**
     * Returns the indices of the stages whose results the final request needs: those that have
     * pieces and on which no other stage depends.
     *
     * @param pieces number of pieces of each stage; a stage with 0 pieces is left out
     */
    public List<Integer> finalStages(List<Integer> pieces) {
        List<Integer> indices = new ArrayList<>();
        for (int i = 0; i < stages.size(); i++) {
            int stage = i;
            boolean hasDependents =
                    stages.stream().anyMatch(other -> other.dependencies().contains(stage));
            if (!hasDependents && pieces.get(i) > 0) {
                indices.add(i);
            }
        }
        return indices;
    }

    /**
     * A service and its share of the requests.
     *
     * <p>Thread safety: immutable.
     *
     * @param weight share of the requests relative to the other targets
     */
    public record Target(String service, int weight) {}

    /**
     * A stage that runs before the final request.
     *
     * <p>Thread safety: immutable.
     *
     * @param dependencies indices of the stages whose results it needs
     * @param resultBytes approximate size of the result of one piece
     */
    public record RouteStage(String service, List<Integer> dependencies, long resultBytes) {
        public RouteStage {
            dependencies = List.copyOf(dependencies);
        }
    }
}
