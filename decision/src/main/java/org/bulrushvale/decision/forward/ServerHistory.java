package org.bulrushvale.decision.forward;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushvale.kernel.time.Clock;

/**
 * Which servers were published in the last {@link #MAX_AGE}, to work out at which version a stream
 * began that no entry knows.
 *
 * <p>{@link VersionChoice} decides where a stream begins from the servers that its entry knows at
 * that time. Servers that were published for the whole time since are certain to have been among
 * them, others may have been. The version is known when no server of another version, certain or
 * possible, ranks before the first certain one.
 *
 * <p>Invariants: a version is returned only when every set of servers that may have been published
 * in the time asked for leads to it; without complete knowledge of that time nothing is returned.
 * Thread safety: not safe; used by the event loop.
 */
public final class ServerHistory {
    /** Longest time for which the published servers are remembered. */
    public static final Duration MAX_AGE = Duration.ofSeconds(30);

    private final Clock mClock;
    private final Map<String, Process> mProcesses = new HashMap<>();
    private long mBeginNanos;
    private long mLastGapNanos;

    /** Creates a history that begins now. */
    ServerHistory(Clock clock) {
        mClock = clock;
        begin();
    }

    /** Begins with the servers that are recorded from now on. */
    public void begin() {
        mBeginNanos = mClock.monotonicNanos();
        mLastGapNanos = mBeginNanos - MAX_AGE.toNanos();
    }

    void recordPublished(PublishedBackend server) {
        Process process = mProcesses.computeIfAbsent(keyOf(server), key -> new Process(server));
        if (server.leaving()) {
            recordRemoved(server);
        } else if (!process.mPresent) {
            process.mPresent = true;
            process.mSinceNanos = mClock.monotonicNanos();
        }
    }

    void recordRemoved(PublishedBackend server) {
        Process process = mProcesses.get(keyOf(server));
        if (process != null && process.mPresent) {
            process.mPresent = false;
            process.mUntilNanos = mClock.monotonicNanos();
        }
        long oldest = mClock.nanosBefore(MAX_AGE);
        mProcesses.values().removeIf(p -> !p.mPresent && p.mUntilNanos - oldest < 0);
    }

    /** A process that states no start is told from the one before by its service and version. */
    private static String keyOf(PublishedBackend server) {
        return server.processName() + "\n" + server.service() + "\n" + server.version();
    }

    /** Records that other servers may have been published up to now. */
    public void recordGap() {
        mLastGapNanos = mClock.monotonicNanos();
    }

    /**
     * Adds what the store tells of the time before this history began.
     *
     * @param changes all changes of registrations since {@link #MAX_AGE} before {@code askedNanos}
     *     or earlier, the oldest first; later ones may be among them
     * @param askedNanos monotonic time before the store was asked
     */
    public void addEarlier(List<RegistrationChange> changes, long askedNanos) {
        Set<String> changedIds = new HashSet<>();
        Set<String> knownIds = new HashSet<>();
        mProcesses.values().forEach(process -> knownIds.add(process.mServer.id()));
        for (RegistrationChange change : changes) {
            if (change.isUnexplained() && !knownIds.contains(change.id())) {
                // What was registered under this id before is not known.
                return;
            }
            change.server().ifPresent(this::recordEarlier);
            boolean isStillPresent =
                    change.server()
                            .filter(server -> isRepeated(server) && !server.leaving())
                            .filter(this::isPresent)
                            .isPresent();
            if (!isStillPresent) {
                changedIds.add(change.id());
            }
            knownIds.add(change.id());
        }
        long beginNanos = askedNanos - MAX_AGE.toNanos();
        for (Process process : mProcesses.values()) {
            boolean wasPresent = process.mPresent && process.mSinceNanos - askedNanos <= 0;
            if (wasPresent && !changedIds.contains(process.mServer.id())) {
                process.mSinceNanos = beginNanos;
            }
        }
        mBeginNanos = beginNanos;
    }

    private void recordEarlier(PublishedBackend server) {
        Process process = mProcesses.computeIfAbsent(keyOf(server), key -> new Process(server));
        if (!process.mPresent) {
            process.mUntilNanos = mClock.monotonicNanos();
        }
    }

    private boolean isPresent(PublishedBackend server) {
        Process process = mProcesses.get(keyOf(server));
        return process != null && process.mPresent;
    }

    /** Returns true when a registration is not the first one of its process. */
    private static boolean isRepeated(PublishedBackend server) {
        return server.sequence() > 1;
    }

    /**
     * Returns the version at which a stream began that may be as old as {@code age}; empty when it
     * cannot be told for certain, and when the age exceeds {@link #MAX_AGE}.
     */
    public Optional<String> versionAt(long stream, String service, Duration age) {
        long beginNanos = mClock.nanosBefore(age);
        if (age.compareTo(MAX_AGE) > 0) {
            return Optional.empty();
        }
        if (mBeginNanos - beginNanos > 0 || mLastGapNanos - beginNanos > 0) {
            return Optional.empty();
        }
        List<Process> possible =
                mProcesses.values().stream()
                        .filter(process -> process.mServer.service().equals(service))
                        .filter(process -> process.mayHaveServedSince(beginNanos))
                        .toList();
        List<Process> certain =
                possible.stream().filter(process -> process.hasServedSince(beginNanos)).toList();
        Set<String> certainVersions = versionsWithEnough(certain);
        Set<String> possibleVersions = versionsWithEnough(possible);
        long firstCertain = Long.MIN_VALUE;
        for (Process process : certain) {
            if (certainVersions.contains(process.mServer.version())) {
                firstCertain = Math.max(firstCertain, process.rank(stream));
            }
        }
        Set<String> candidates = new HashSet<>();
        for (Process process : possible) {
            String version = process.mServer.version();
            if (possibleVersions.contains(version) && process.rank(stream) >= firstCertain) {
                candidates.add(version);
            }
        }
        return certainVersions.isEmpty() || candidates.size() != 1
                ? Optional.empty()
                : candidates.stream().findAny();
    }

    private static Set<String> versionsWithEnough(Collection<Process> processes) {
        Map<String, Integer> counts = new HashMap<>();
        processes.forEach(process -> counts.merge(process.mServer.version(), 1, Integer::sum));
        counts.values().removeIf(count -> count < VersionChoice.MIN_SERVERS);
        return counts.keySet();
    }

    /**
     * A change of a registration in the store.
     *
     * <p>Thread safety: immutable.
     *
     * @param server the registration; empty when it was removed or names no usable server
     * @param replaces true when something was registered under the id before
     */
    public record RegistrationChange(
            String id, Optional<PublishedBackend> server, boolean replaces) {
        /** Returns true when another process may have been registered under the id before. */
        boolean isUnexplained() {
            return server.isEmpty() || replaces && !isRepeated(server.get());
        }
    }

    /** One process of a server; times are monotonic. */
    private static final class Process {
        private final PublishedBackend mServer;
        private boolean mPresent;
        private long mSinceNanos;
        private long mUntilNanos;

        Process(PublishedBackend server) {
            mServer = server;
        }

        boolean hasServedSince(long nanos) {
            return mPresent && mSinceNanos - nanos <= 0;
        }

        boolean mayHaveServedSince(long nanos) {
            return mPresent || mUntilNanos - nanos >= 0;
        }

        long rank(long stream) {
            return VersionChoice.rank(stream, mServer.processName());
        }
    }
}
