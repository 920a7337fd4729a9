package org.bulrushvale.decision.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import net.openhft.hashing.LongHashFunction;
import org.bulrushvale.decision.forward.BackendDirectory.Server;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the server that is expected to send the first event soonest, among two that the prompt
 * has an affinity to and two random ones.
 *
 * <p>Requests without a prompt are compared on three random servers. Comparing only a few servers
 * that differ between requests keeps entries that know the same stale figures from choosing the
 * same server.
 *
 * <p>Thread safety: not safe; used by the event loop.
 */
public final class ExpectedCompletion implements ServerChoice {
    private static final int AFFINE_CANDIDATES = 2;
    private static final int RANDOM_CANDIDATES = 2;

    // Plain services have few servers, of which two may be slow at the same time.
    private static final int PLAIN_CANDIDATES = 3;

    private static final int PROBED_SERVERS = 2;

    // How much longer work takes on a server whose slots are all occupied.
    private static final double FULL_LOAD_SLOWDOWN = 0.5;

    // A change away from the cached prompt must gain at least this share of the expected time,
    // because estimates are rough.
    private static final double CLEAR_GAIN = 0.2;

    // The time that reading stage results from another failure domain adds.
    private static final long OTHER_DOMAIN_NANOS = 5_000_000L;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Clock mClock;
    private final SendLimits mLimits;
    private final ServerSpeed mSpeed;
    private final IntSupplier mEntryCount;
    private final SentPrompts mSentPrompts;
    private Estimate mLastEstimate = Estimate.NONE;

    /**
     * Creates a choice among the servers that the limits allow.
     *
     * @param entryCount returns the number of entries of the fleet
     */
    public ExpectedCompletion(
            Clock clock, SendLimits limits, ServerSpeed speed, IntSupplier entryCount) {
        mClock = clock;
        mLimits = limits;
        mSpeed = speed;
        mEntryCount = entryCount;
        mSentPrompts = new SentPrompts(clock);
    }

    @Override
    public @Nullable Server choose(
            List<Server> eligible,
            Collection<String> tried,
            double coldRequestsPerSecond,
            Request request) {
        List<Server> usable = usable(eligible, tried, coldRequestsPerSecond);
        double unknownLoad = meanKnownLoad(usable, mClock.monotonicNanos());
        List<Server> affine = affine(usable, request.affinity());
        Server first = affine.isEmpty() ? null : affine.get(0);
        Server best = null;
        double bestNanos = Double.MAX_VALUE;
        for (Server server : candidates(usable, affine, request)) {
            double nanos = expectedNanos(server, server == first, request, unknownLoad);
            boolean cached = isCached(server, server == first, request);
            // A clear gain is needed only to leave a prompt that is probably cached.
            double compared = cached ? nanos : nanos * (1 + CLEAR_GAIN);
            if (compared < bestNanos) {
                best = server;
                bestNanos = compared;
                mLastEstimate = new Estimate((long) (nanos / NANOS_PER_MILLI), cached);
            }
        }
        return best;
    }

    private List<Server> usable(
            List<Server> eligible, Collection<String> tried, double coldRequestsPerSecond) {
        long now = mClock.monotonicNanos();
        List<Server> allowed = mLimits.allowed(eligible, tried, coldRequestsPerSecond);
        List<Server> good = allowed.stream().filter(server -> !server.isSuspect(now)).toList();
        return good.isEmpty() ? allowed : good;
    }

    @Override
    public List<Server> serversToProbe(
            List<Server> eligible,
            Collection<String> tried,
            double coldRequestsPerSecond,
            Request request) {
        long now = mClock.monotonicNanos();
        List<Server> usable = usable(eligible, tried, coldRequestsPerSecond);
        List<Server> affine = affine(usable, request.affinity());
        Server first = affine.isEmpty() ? null : affine.get(0);
        List<Server> best = new ArrayList<>(candidates(usable, affine, request));
        best.sort(
                Comparator.comparingDouble(
                        server -> expectedNanos(server, server == first, request, 0)));
        if (best.size() < PROBED_SERVERS) {
            return List.of();
        }
        List<Server> probed = List.copyOf(best.subList(0, PROBED_SERVERS));
        boolean unknown =
                probed.stream().allMatch(s -> s.facts().load(now).isEmpty() && !s.isCold(now));
        Server chosen = probed.get(0);
        double ifFull = expectedNanos(chosen, chosen == first, request, fullLoad(chosen, request));
        Server other = probed.get(1);
        double otherIfIdle = expectedNanos(other, other == first, request, 0);
        return unknown && otherIfIdle * (1 + CLEAR_GAIN) < ifFull ? probed : List.of();
    }

    /** Returns a load at which as many requests wait as run. */
    private double fullLoad(Server server, Request request) {
        return 2.0 * slots(server, request, mClock.monotonicNanos());
    }

    private static List<Server> affine(List<Server> usable, String affinity) {
        return affinity.isEmpty()
                ? List.of()
                : first(usable, LongHashFunction.xx().hashChars(affinity), AFFINE_CANDIDATES);
    }

    private static Set<Server> candidates(
            List<Server> usable, List<Server> affine, Request request) {
        Set<Server> candidates = new LinkedHashSet<>(affine);
        candidates.addAll(
                first(
                        usable,
                        request.tieBreak(),
                        request.affinity().isEmpty() ? PLAIN_CANDIDATES : RANDOM_CANDIDATES));
        return candidates;
    }

    /** Returns the servers that rank first in the rendezvous order of a number. */
    private static List<Server> first(List<Server> servers, long seed, int count) {
        LongHashFunction hash = LongHashFunction.xx(seed);
        List<Server> ordered = new ArrayList<>(servers);
        ordered.sort(Comparator.comparingLong(server -> hash.hashChars(server.published().id())));
        return ordered.subList(0, Math.min(count, ordered.size()));
    }

    private double expectedNanos(
            Server server, boolean isFirst, Request request, double unknownLoad) {
        long now = mClock.monotonicNanos();
        ServerFacts facts = server.facts();
        // A stated pace may be relative to the process or to the service; the larger figure is
        // the safer one.
        double observed = mSpeed.ratio(server.published().processName());
        double ratio = Math.max(facts.pace(now).orElse(observed), observed);
        double usual = mSpeed.typicalNanos(request.service(), request.promptTokens()) * ratio;
        double slots = Math.max(1, slots(server, request, now));
        double load =
                facts.load(now).isPresent()
                        ? facts.load(now).getAsInt()
                        : unknownLoad + server.outstanding() * Math.sqrt(entryCount());
        double running = usual * (1 + FULL_LOAD_SLOWDOWN * Math.min(1, load / slots));
        double waiting = usual * Math.max(0, load + 1 - slots) / slots;
        double reading =
                isCached(server, isFirst, request)
                        ? 0
                        : request.promptTokens() * mSpeed.nanosPerToken(request.service());
        boolean crossesDomains =
                !request.inputDomain().isEmpty()
                        && !request.inputDomain().equals(server.published().domain());
        return running + waiting + reading + (crossesDomains ? OTHER_DOMAIN_NANOS : 0);
    }

    private int entryCount() {
        return Math.max(1, mEntryCount.getAsInt());
    }

    private static int slots(Server server, Request request, long now) {
        int published = request.slots() > 0 ? request.slots() : server.published().slots();
        return server.facts().slots(now).orElse(published);
    }

    /** The fleet sends a prompt to its first server; to others this entry may have sent it. */
    private boolean isCached(Server server, boolean isFirst, Request request) {
        return request.affinity().isEmpty()
                || isFirst
                || mSentPrompts.contains(server.published().processName(), request.affinity());
    }

    private static double meanKnownLoad(List<Server> servers, long now) {
        return servers.stream()
                .map(server -> server.facts().load(now))
                .filter(load -> load.isPresent())
                .mapToInt(load -> load.getAsInt())
                .average()
                .orElse(0);
    }

    @Override
    public void recordSent(Server server, Request request) {
        if (!request.affinity().isEmpty()) {
            mSentPrompts.record(server.published().processName(), request.affinity());
        }
    }

    @Override
    public Estimate lastEstimate() {
        return mLastEstimate;
    }
}
