package org.bulrushvale.adapters.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.bulrushvale.decision.forward.LeavingServer;
import org.bulrushvale.decision.forward.ObservedSpeed;
import org.bulrushvale.decision.forward.PublishedItem;
import org.bulrushvale.decision.forward.PublishedItems;
import org.bulrushvale.decision.forward.StatedRate;
import org.bulrushvale.decision.forward.StoreRevision;
import org.bulrushvale.decision.forward.StreamOrigin;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.retry.CrashRecord;
import org.bulrushvale.kernel.verdict.Verdict;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against fields that the codec loses and damaged frames that it does not reject. */
public class PeerCodecTest {
    private static final long SEED = 411L;
    private static final PeerMessage.Sender SENDER = new PeerMessage.Sender("como-1", "0abc");
    private static final PeerMessage.PoisonState POISON =
            new PeerMessage.PoisonState("ff01", List.of("s/e", "t/e"), List.of("s/e"), true, 900);

    private static final PeerMessage.OriginGroup ORIGINS =
            new PeerMessage.OriginGroup(new StreamOrigin("pool", "1"), List.of(7L, Long.MAX_VALUE));

    private static final PeerMessage.PublishedChanges PUBLISHED_CHANGES =
            new PeerMessage.PublishedChanges(
                    120,
                    true,
                    List.of(
                            new PeerMessage.CollectionChanges(
                                    "op/",
                                    new PublishedItems.Update(
                                            List.of(
                                                    new PublishedItem(
                                                            "op/a", new byte[] {1, 2}, 7, false),
                                                    PublishedItem.removed("op/b", 8)),
                                            new StoreRevision(2, 9),
                                            true))));

    @DataProvider
    public Object[][] messages() {
        return new Object[][] {
            {
                new PeerMessage.Gossip(
                        SENDER,
                        new PeerMessage.ConfigState(7, "d1", 12),
                        3,
                        45,
                        List.of(new PeerMessage.WarmthNotice("runner-1", "e1", true, 9)),
                        List.of(POISON),
                        true,
                        List.of("0abc", "0def"))
            },
            {new PeerMessage.ConfigFetch(List.of("classes", "domains"))},
            {
                new PeerMessage.ConfigValues(
                        4, 9, List.of(new PeerMessage.ConfigValue("c", 4, "[]")))
            },
            {new PeerMessage.KeyHolderRequest("r", "w", "c", "v1.k", 900, "{è}".getBytes(), 16)},
            {new PeerMessage.KeyHolderReply("r", 503, "BACKEND_FAILED", Verdict.RAN, "è", "[]")},
            {new PeerMessage.PoisonNotice(List.of(POISON, POISON))},
            {new PeerMessage.PoisonAck()},
            {new PeerMessage.KeyHandover(new byte[] {1, 2, 3})},
            {new PeerMessage.KeyHandoverAck("0abc", "0def", true)},
            {new PeerMessage.LeaveNotice(SENDER)},
            {new PeerMessage.Heartbeat()},
            {new PeerMessage.Hello(1, "granite", SENDER, new byte[32])},
            {new PeerMessage.Proof(new byte[32])},
            {
                new PeerMessage.MemberList(
                        List.of(new PeerMessage.Member("m", "como", true, false, 5, 75)))
            },
            {new PeerMessage.StreamOriginCopies(List.of(ORIGINS))},
            {new PeerMessage.StreamOriginQuery("pool", List.of(1L, Long.MIN_VALUE))},
            {new PeerMessage.StreamOriginAnswer(List.of(ORIGINS), List.of("1", "2"), true)},
            {
                new PeerMessage.PublishedFetch(
                        List.of(new PeerMessage.KnownRevision("op/", StoreRevision.NONE)))
            },
            {PUBLISHED_CHANGES},
            {new PeerMessage.CrashNotice(7, List.of(CRASH_RECORD))},
            {
                new PeerMessage.RateNotice(
                        9,
                        List.of(
                                new StatedRate("i-1/5", OptionalDouble.of(1.5), 20),
                                new StatedRate("i-2/5", OptionalDouble.empty(), 0)))
            },
            {new PeerMessage.SpeedNotice(List.of(new ObservedSpeed(-7, 170, 400)))},
            {new PeerMessage.LeavingNotice(3, List.of(new LeavingServer("i-1/5", 20)))},
        };
    }

    private static final CrashRecord CRASH_RECORD =
            new CrashRecord(
                    new ContentFingerprint(1, -2),
                    List.of(new CrashRecord.Crash("i-1/5", 3, 40)),
                    OptionalLong.of(7));

    private static byte[] payload(PeerMessage message) throws PeerException {
        ByteBuffer frame = PeerCodec.encode(5, message);
        byte[] payload = new byte[frame.getInt()];
        frame.get(payload);
        assertThat(frame.hasRemaining()).isFalse();
        return payload;
    }

    @Test(dataProvider = "messages")
    public void every_message_is_decoded_unchanged_and_every_truncation_is_rejected(
            PeerMessage message) throws PeerException {
        byte[] payload = payload(message);
        PeerCodec.Envelope decoded = PeerCodec.decode(payload);
        assertThat(decoded.correlation()).isEqualTo(5);
        assertThat(decoded.message()).usingRecursiveComparison().isEqualTo(message);
        for (int length = 0; length < payload.length; length++) {
            byte[] truncated = java.util.Arrays.copyOf(payload, length);
            assertThatThrownBy(() -> PeerCodec.decode(truncated)).isInstanceOf(PeerException.class);
        }
        byte[] surplus = java.util.Arrays.copyOf(payload, payload.length + 1);
        assertThatThrownBy(() -> PeerCodec.decode(surplus)).isInstanceOf(PeerException.class);
    }

    @Test
    public void damaged_frames_decode_to_a_message_or_fail_as_malformed() throws PeerException {
        System.out.println("seed " + SEED);
        SplittableRandom random = new SplittableRandom(SEED);
        List<byte[]> valid =
                List.of(payload((PeerMessage) messages()[0][0]), payload(PUBLISHED_CHANGES));
        int rejected = 0;
        for (int i = 0; i < 50_000; i++) {
            byte[] damaged = valid.get(i % valid.size()).clone();
            for (int n = random.nextInt(1, 4); n > 0; n--) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            }
            try {
                PeerCodec.decode(damaged);
            } catch (PeerException e) {
                assertThat(e.reason()).isEqualTo(PeerRejectReason.FRAME_MALFORMED);
                rejected++;
            }
        }
        assertThat(rejected).isPositive();
    }

    @Test
    public void encoding_rejects_a_message_above_the_frame_limit() {
        PeerMessage large = new PeerMessage.KeyHandover(new byte[PeerCodec.MAX_FRAME_BYTES]);
        assertThatThrownBy(() -> PeerCodec.encode(0, large)).isInstanceOf(PeerException.class);
    }

    @Test
    public void full_notices_about_servers_stay_within_their_bounds() throws PeerException {
        List<ObservedSpeed> speeds = new ArrayList<>();
        List<LeavingServer> leaving = new ArrayList<>();
        for (int i = 0; i < 64; i++) {
            speeds.add(new ObservedSpeed(Long.MIN_VALUE + i, 1_000, 9_999));
            leaving.add(new LeavingServer("i-0c1bb3654e" + i + "/1796548500000", 299_999));
        }
        // An entry sends two notices of speeds a second and may spend 1 KB/s on them.
        int speedBytes = payload(new PeerMessage.SpeedNotice(speeds.subList(0, 32))).length;
        assertThat(speedBytes).isLessThan(512);
        assertThat(payload(new PeerMessage.LeavingNotice(1, leaving)).length).isLessThan(4_096);
    }
}
