package org.bulrushvale.adapters.peer;

import java.util.List;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * A message between two processes of the fleet.
 *
 * <p>Invariant: byte arrays are not changed after construction. Thread safety: immutable.
 */
public sealed interface PeerMessage {
    /**
     * Periodic state of the sender; ages are in milliseconds.
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
     * Process that a message speaks for.
     *
     * <p>Thread safety: immutable.
     */
    record Sender(String vm, String incarnation) {}

    /**
     * Configuration that the sender holds.
     *
     * <p>Thread safety: immutable.
     */
    record ConfigState(long revision, String digest, long confirmationAgeMillis) {}

    /**
     * Announced warmth of a backend server.
     *
     * <p>Thread safety: immutable.
     */
    record WarmthNotice(String server, String epoch, boolean warm, long sequence) {}

    /**
     * What the sender knows about a content that is suspected of crashing servers.
     *
     * <p>Thread safety: immutable.
     */
    record PoisonState(
            String fingerprint,
            List<String> strikes,
            List<String> cleared,
            boolean convicted,
            long ageMillis) {
        public PoisonState {
            strikes = List.copyOf(strikes);
            cleared = List.copyOf(cleared);
        }
    }

    /**
     * Asks for published values by name.
     *
     * <p>Thread safety: immutable.
     */
    record ConfigFetch(List<String> names) implements PeerMessage {
        public ConfigFetch {
            names = List.copyOf(names);
        }
    }

    /**
     * Published values of one revision, confirmed the given time ago.
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
     * A keyed request for the holder of its key.
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
     * A suspicion or conviction that must be known before a caller is answered.
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
     * An encoded offer of a key space.
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
     * Members that the sender has heard of, itself first.
     *
     * <p>Thread safety: immutable.
     */
    record MemberList(List<Member> members) implements PeerMessage {
        public MemberList {
            members = List.copyOf(members);
        }
    }

    /**
     * One member and how long ago it was heard of, in milliseconds.
     *
     * <p>Thread safety: immutable.
     */
    record Member(String vm, boolean leaving, long ageMillis) {}

    /**
     * Asks the collector of a stage service for the pieces of a job.
     *
     * <p>Thread safety: immutable.
     */
    record StageOrder(StageJob job) implements PeerMessage {}

    /**
     * Results of a {@link StageOrder}, one for each piece.
     *
     * <p>Thread safety: immutable.
     */
    record StageResults(List<PieceResult> results) implements PeerMessage {
        public StageResults {
            results = List.copyOf(results);
        }
    }

    /**
     * Nobody waits for the pieces of a request any more.
     *
     * <p>Thread safety: immutable.
     */
    record StageCancel(String requestId) implements PeerMessage {}

    /**
     * Gives up results of a stage service.
     *
     * <p>Thread safety: immutable.
     */
    record StageRelease(String service, List<CompletedPiece> pieces) implements PeerMessage {
        public StageRelease {
            pieces = List.copyOf(pieces);
        }
    }

    /**
     * The sender shuts down.
     *
     * <p>Thread safety: immutable.
     */
    record LeaveNotice(Sender sender) implements PeerMessage {}

    /**
     * Keeps a link alive and is echoed; handled by the transport itself.
     *
     * <p>Thread safety: immutable.
     */
    record Heartbeat() implements PeerMessage {}

    /**
     * First message of both sides of a connection.
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
