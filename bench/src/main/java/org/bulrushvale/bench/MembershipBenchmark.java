package org.bulrushvale.bench;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.bulrushvale.adapters.peer.PeerException;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.kernel.time.Clock;
import org.bulrushvale.kernel.time.ManualClock;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures what an idle entry does with its members: the order of the readers of its failure domain
 * (ten times a second), the collector of a service, and one gossip message.
 *
 * <p>Thread safety: one state per benchmark thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class MembershipBenchmark {
    private static final int DOMAINS = 4;

    // Members must not expire during a run.
    private static final Clock CLOCK = ManualClock.startingAt(Instant.EPOCH);

    /** Number of members besides this entry. */
    @Param({"8", "85", "333"})
    int mMembers;

    private MemberTable mTable = table();

    private static MemberTable table() {
        return new MemberTable(CLOCK, new SplittableRandom(1), "10.1.0.0", "d0", Set.of());
    }

    /** Creates the members. */
    @Setup
    public void createMembers() {
        mTable = table();
        for (int i = 1; i <= mMembers; i++) {
            Duration age = Duration.ofMillis(i);
            mTable.recordHeard("10.1.0." + i, "d" + i % DOMAINS, false, age);
        }
    }

    /** Orders the readers of the failure domain. */
    @Benchmark
    public List<String> readers() {
        return mTable.domainReaders();
    }

    /** Chooses the collector of a service. */
    @Benchmark
    public String collector() {
        return mTable.collector("vision");
    }

    /** Builds and encodes a member list. */
    @Benchmark
    public int encodeGossip() throws PeerException {
        return PeerTransport.frameBytes(
                new PeerMessage.MemberList(
                        mTable.knownMembers().stream()
                                .map(
                                        heard ->
                                                new PeerMessage.Member(
                                                        heard.name(),
                                                        heard.domain(),
                                                        heard.leaving(),
                                                        false,
                                                        heard.age().toMillis(),
                                                        0))
                                .toList()));
    }
}
