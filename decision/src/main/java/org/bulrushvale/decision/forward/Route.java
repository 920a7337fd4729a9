package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * One published route.
 *
 * <p>Invariant: at least one target; the stages are ordered so that each comes after those it
 * needs. Thread safety: immutable.
 *
 * @param prefix path prefix; begins and ends with a slash
 * @param timeout longest time that a caller is kept waiting
 * @param latencyTarget time within which an answer earns its full credit
 * @param priority rank; 0 is the most important
 * @param maxAttempts most backend servers that one request may be sent to
 * @param allowsAnonymous true when callers need no API key
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
        boolean resumable) {
    public Route {
        targets = List.copyOf(targets);
        stages = List.copyOf(stages);
        if (targets.isEmpty()) {
            throw new IllegalArgumentException("route " + name + " has no service");
        }
    }

    /** Returns true when a request that may have run may be sent again. */
    public boolean mayRepeat() {
        return kind.mayRepeat(resumable);
    }

    /**
     * Returns the service that a request goes to; the same request always gets the same one.
     *
     * @param hash hash of the request's id
     */
    public String selectService(long hash) {
        long total = 0;
        for (Target target : targets) {
            total += target.weight();
        }
        if (total <= 0) {
            return targets.get(0).service();
        }
        long point = Math.floorMod(hash, total);
        for (Target target : targets) {
            point -= target.weight();
            if (point < 0) {
                return target.service();
            }
        }
        return targets.get(targets.size() - 1).service();
    }

    /**
     * Returns the stages whose results the final request needs: those that no other stage with
     * pieces follows.
     *
     * @param pieces number of pieces of each stage; 0 leaves the stage out
     */
    public List<Integer> finalStages(List<Integer> pieces) {
        List<Integer> last = new ArrayList<>();
        for (int i = 0; i < stages.size(); i++) {
            int stage = i;
            boolean followed =
                    stages.stream().anyMatch(step -> step.dependencies().contains(stage));
            if (!followed && pieces.get(i) > 0) {
                last.add(i);
            }
        }
        return last;
    }

    /**
     * A service and its share of the requests.
     *
     * <p>Thread safety: immutable.
     */
    public record Target(String service, int weight) {}

    /**
     * Work that is done before the request itself.
     *
     * <p>Thread safety: immutable.
     *
     * @param dependencies stages whose results it needs
     * @param resultBytes approximate size of one result
     */
    public record RouteStage(String service, List<Integer> dependencies, long resultBytes) {
        public RouteStage {
            dependencies = List.copyOf(dependencies);
        }
    }
}
