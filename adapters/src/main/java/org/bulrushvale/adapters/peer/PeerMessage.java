package org.bulrushvale.adapters.peer;

import java.util.List;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.decision.forward.LeavingServer;
import org.bulrushvale.decision.forward.ObservedSpeed;
import org.bulrushvale.decision.forward.PublishedItems;
import org.bulrushvale.decision.forward.StatedRate;
import org.bulrushvale.decision.forward.StoreRevision;
import org.bulrushvale.decision.forward.StreamOrigin;
import org.bulrushvale.decision.retry.CrashRecord;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * A message between two processes of the fleet.
 *
 * <p>Invariant: byte arrays are not changed after construction. Thread safety: immutable.
 */
public sealed interface PeerMessage {
    /** Returns true when further messages to the same process follow soon. */
    default boolean isSeries() {
        return false;
    }

    /**
     * State that each process sends periodically; ages are in milliseconds.
     *
     * <p>Thread safety: immutable.
     */
    record Gossip(
            Sender sender,
            ConfigState config,
            long vmListVersion,
            long vmListAgeMillis,
            List<WarmthNotice> warmth,
            List<PoisonState> poison,
            boolean draining,
            List<String> heldKeySpaces)
            implements PeerMessage {
        public Gossip {
            warmth = List.copyOf(warmth);
            poison = List.copyOf(poison);
            heldKeySpaces = List.copyOf(heldKeySpaces);
        }
    }

    /**
     * Process that sent a message.
     *
     * <p>Thread safety: immutable.
     */
    record Sender(String vm, String incarnation) {}

    /**
     * Configuration revision that the sender holds.
     *
     * <p>Thread safety: immutable.
     */
    record ConfigState(long revision, String digest, long confirmationAgeMillis) {}

    /**
     * Announcement of whether a backend server is warm.
     *
     * <p>Thread safety: immutable.
     *
     * @param epoch server process that the announcement is about
     * @param sequence an announcement replaces those of the same epoch with a lower sequence
     */
    record WarmthNotice(String server, String epoch, boolean warm, long sequence) {}

    /**
     * What the sender knows of a request content that is suspected of crashing backend servers.
     *
     * <p>Thread safety: immutable.
     *
     * @param fingerprint fingerprint of the content
     * @param crashes crashes of servers that were processing the content
     * @param clearedCrashes crashes that a later completion of the content has refuted
     * @param confirmedPoison true when requests with the content are refused
     */
    record PoisonState(
            String fingerprint,
            List<String> crashes,
            List<String> clearedCrashes,
            boolean confirmedPoison,
            long ageMillis) {
        public PoisonState {
            crashes = List.copyOf(crashes);
            clearedCrashes = List.copyOf(clearedCrashes);
        }
    }

    /**
     * Request for published values by name.
     *
     * <p>Thread safety: immutable.
     */
    record ConfigFetch(List<String> names) implements PeerMessage {
        public ConfigFetch {
            names = List.copyOf(names);
        }
    }

    /**
     * Published values of one revision, with the time since the revision was last confirmed.
     *
     * <p>Thread safety: immutable.
     */
    record ConfigValues(long revision, long confirmationAgeMillis, List<ConfigValue> values)
            implements PeerMessage {
        public ConfigValues {
            values = List.copyOf(values);
        }
    }

    /**
     * One published value.
     *
     * <p>Thread safety: immutable.
     */
    record ConfigValue(String name, long revision, String json) {}

    /**
     * A request with an idempotency key, forwarded to the process that holds the key.
     *
     * <p>Thread safety: immutable.
     */
    record KeyHolderRequest(
            String requestId,
            String workspace,
            String workClass,
            String key,
            long deadlineMillis,
            byte[] body,
            int maxTokens)
            implements PeerMessage {}

    /**
     * Outcome of a forwarded request; the error code is empty when there is none.
     *
     * <p>Thread safety: immutable.
     */
    record KeyHolderReply(
            String requestId,
            int status,
            String errorCode,
            Verdict verdict,
            String output,
            String stagesJson)
            implements PeerMessage {}

    /**
     * Contents that crash servers or are suspected of it; peers must know of them before a caller
     * is answered.
     *
     * <p>Thread safety: immutable.
     */
    record PoisonNotice(List<PoisonState> poison) implements PeerMessage {
        public PoisonNotice {
            poison = List.copyOf(poison);
        }
    }

    /**
     * Acknowledges a {@link PoisonNotice}.
     *
     * <p>Thread safety: immutable.
     */
    record PoisonAck() implements PeerMessage {}

    /**
     * Offer to hand a key space over, in encoded form.
     *
     * <p>Thread safety: immutable.
     */
    record KeyHandover(byte[] offer) implements PeerMessage {}

    /**
     * Answer to a {@link KeyHandover}.
     *
     * <p>Thread safety: immutable.
     */
    record KeyHandoverAck(String space, String successor, boolean accepted)
            implements PeerMessage {}

    /**
     * Members that the sender knows of, starting with itself.
     *
     * <p>Thread safety: immutable.
     */
    record MemberList(List<Member> members) implements PeerMessage {
        public MemberList {
            members = List.copyOf(members);
        }
    }

    /**
     * One member and the time since it was last heard of, in milliseconds.
     *
     * <p>Thread safety: immutable.
     *
     * @param failureDomain failure domain of the member; empty when the sender does not know it
     * @param overloaded true when others should collect pieces instead of the member
     * @param capacity capacity of the VM: the smaller of its cores in hundredths and its link in
     *     Mbit/s; 0 when the sender does not know it
     */
    record Member(
            String vm,
            String failureDomain,
            boolean leaving,
            boolean overloaded,
            long ageMillis,
            int capacity) {}

    /**
     * Request for the changes of the published state that the sender does not know yet. The answer
     * is held back for a short time while there are none.
     *
     * <p>Thread safety: immutable.
     */
    record PublishedFetch(List<KnownRevision> known) implements PeerMessage {
        public PublishedFetch {
            known = List.copyOf(known);
        }
    }

    /**
     * Revision up to which an entry knows all changes of a collection.
     *
     * <p>Thread safety: immutable.
     */
    record KnownRevision(String collection, StoreRevision revision) {}

    /**
     * Answer to a {@link PublishedFetch}.
     *
     * <p>Thread safety: immutable.
     *
     * @param confirmationAgeMillis time since the store last confirmed the state of the sender
     * @param storeReachable false when the sender knows that the store cannot be reached
     */
    record PublishedChanges(
            long confirmationAgeMillis, boolean storeReachable, List<CollectionChanges> changes)
            implements PeerMessage {
        public PublishedChanges {
            changes = List.copyOf(changes);
        }
    }

    /**
     * Changes of one collection of published items.
     *
     * <p>Thread safety: immutable.
     */
    record CollectionChanges(String collection, PublishedItems.Update update) {}

    /**
     * Streams that servers of one software version of a service began.
     *
     * <p>Thread safety: immutable.
     *
     * @param streams keys of the streams, see {@code StreamOrigins}
     */
    record OriginGroup(StreamOrigin origin, List<Long> streams) {
        public OriginGroup {
            streams = List.copyOf(streams);
        }
    }

    /**
     * Copies of the origins of streams that began at the sender; answered with an empty one.
     *
     * <p>Thread safety: immutable.
     */
    record StreamOriginCopies(List<OriginGroup> groups) implements PeerMessage {
        public StreamOriginCopies {
            groups = List.copyOf(groups);
        }

        @Override
        public boolean isSeries() {
            return true;
        }
    }

    /**
     * Asks for the origins of streams of a service that callers take up.
     *
     * <p>Thread safety: immutable.
     */
    record StreamOriginQuery(String service, List<Long> streams) implements PeerMessage {
        public StreamOriginQuery {
            streams = List.copyOf(streams);
        }
    }

    /**
     * Answer to a {@link StreamOriginQuery}.
     *
     * <p>Thread safety: immutable.
     *
     * @param found origins of the streams that the sender knows
     * @param versions software versions that the sender knows for the service, see {@code
     *     ServiceVersions}
     * @param complete true when the sender has run for as long as a version counts
     */
    record StreamOriginAnswer(List<OriginGroup> found, List<String> versions, boolean complete)
            implements PeerMessage {
        public StreamOriginAnswer {
            found = List.copyOf(found);
            versions = List.copyOf(versions);
        }
    }

    /**
     * Request to the collector of a stage service to have the pieces of a job computed.
     *
     * <p>Thread safety: immutable.
     */
    record StageOrder(StageJob job) implements PeerMessage {}

    /**
     * Answer to a {@link StageOrder}, with one result for each piece.
     *
     * <p>Thread safety: immutable.
     *
     * @param retryAfterMillis time after which the caller of a refused job should return, in ms;
     *     {@link #NO_RETURN_TIME} for none
     */
    record StageResults(List<PieceResult> results, long retryAfterMillis) implements PeerMessage {
        /** Value of {@code retryAfterMillis} when there is no return time. */
        public static final long NO_RETURN_TIME = -1;

        public StageResults {
            results = List.copyOf(results);
        }
    }

    /**
     * Cancels the pieces of a request, because nobody waits for them any more.
     *
     * <p>Thread safety: immutable.
     */
    record StageCancel(String requestId) implements PeerMessage {}

    /**
     * States that the servers have read the inputs of all pieces of a stage, so that the results
     * can be released.
     *
     * <p>Thread safety: immutable.
     */
    record StageInputsRead(String requestId, int stage) implements PeerMessage {}

    /**
     * Releases stored results of a stage service.
     *
     * <p>Thread safety: immutable.
     */
    record StageRelease(String service, List<CompletedPiece> pieces) implements PeerMessage {
        public StageRelease {
            pieces = List.copyOf(pieces);
        }
    }

    /**
     * Records that entries share. The answer is a notice with what the receiver knows and the
     * sender may not.
     *
     * <p>Thread safety: immutable.
     */
    sealed interface Notice<R> extends PeerMessage {
        /** Returns the digest of all records of this kind that the sender knows. */
        long digest();

        /** Returns the records; empty when only the digests are to be compared. */
        List<R> records();

        /** Returns a message as an answer to this notice; null when it is of another kind. */
        @Nullable Notice<R> answer(@Nullable PeerMessage message);
    }

    /**
     * What the sender knows about crashes of servers beside contents.
     *
     * <p>Thread safety: immutable.
     */
    record CrashNotice(long digest, List<CrashRecord> records) implements Notice<CrashRecord> {
        public CrashNotice {
            records = List.copyOf(records);
        }

        @Override
        public @Nullable CrashNotice answer(@Nullable PeerMessage message) {
            return message instanceof CrashNotice notice ? notice : null;
        }
    }

    /**
     * The request rates that backend servers stated last.
     *
     * <p>Thread safety: immutable.
     */
    record RateNotice(long digest, List<StatedRate> records) implements Notice<StatedRate> {
        public RateNotice {
            records = List.copyOf(records);
        }

        @Override
        public @Nullable RateNotice answer(@Nullable PeerMessage message) {
            return message instanceof RateNotice notice ? notice : null;
        }
    }

    /**
     * Processes of backend servers that stated that they leave.
     *
     * <p>Thread safety: immutable.
     */
    record LeavingNotice(long digest, List<LeavingServer> records)
            implements Notice<LeavingServer> {
        public LeavingNotice {
            records = List.copyOf(records);
        }

        @Override
        public @Nullable LeavingNotice answer(@Nullable PeerMessage message) {
            return message instanceof LeavingNotice notice ? notice : null;
        }
    }

    /**
     * How fast backend servers answer, as the sender knows it.
     *
     * <p>Thread safety: immutable.
     */
    record SpeedNotice(List<ObservedSpeed> speeds) implements PeerMessage {
        public SpeedNotice {
            speeds = List.copyOf(speeds);
        }
    }

    /**
     * Announces that the sender shuts down.
     *
     * <p>Thread safety: immutable.
     */
    record LeaveNotice(Sender sender) implements PeerMessage {}

    /**
     * Keeps a link alive; the transport itself handles it and the accepting side sends it back.
     *
     * <p>Thread safety: immutable.
     */
    record Heartbeat() implements PeerMessage {}

    /**
     * First message that each side sends on a connection.
     *
     * <p>Thread safety: immutable.
     */
    record Hello(int version, String fleet, Sender sender, byte[] nonce) implements PeerMessage {}

    /**
     * Proof that the sender knows the shared secret.
     *
     * <p>Thread safety: immutable.
     */
    record Proof(byte[] mac) implements PeerMessage {}
}
