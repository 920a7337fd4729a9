package org.bulrushvale.adapters.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.kernel.verdict.Verdict;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes messages as frames and decodes them: 4 bytes of length, then the type, the correlation id
 * and the fields in MessagePack.
 *
 * <p>Invariants: a frame has at most {@link #MAX_FRAME_BYTES} bytes after its length field;
 * decoding allocates no more than the frame holds and rejects surplus bytes. Thread safety:
 * stateless.
 */
final class PeerCodec {
    static final int MAX_FRAME_BYTES = (1 << 20) + (64 << 10);
    static final int LENGTH_BYTES = 4;

    // Most messages are heartbeats, digests and handshakes of at most 100 bytes, and the default
    // buffer of 8 KiB was three quarters of what encoding one allocated. Larger messages take
    // several
    // buffers.
    private static final MessagePack.PackerConfig PACKER =
            new MessagePack.PackerConfig().withBufferSize(512);

    private PeerCodec() {}

    /**
     * A message with its correlation id: 0 for one-way messages, positive for requests; an answer
     * has the negated id of its request.
     */
    record Envelope(long correlation, PeerMessage message) {}

    static ByteBuffer encode(long correlation, PeerMessage message) throws PeerException {
        try (MessageBufferPacker out = PACKER.newBufferPacker()) {
            Type type = Type.of(message);
            out.packInt(type.ordinal()).packLong(correlation);
            write(message, out);
            byte[] payload = out.toByteArray();
            if (payload.length > MAX_FRAME_BYTES) {
                throw PeerException.rejected(
                        PeerRejectReason.FRAME_TOO_LONG,
                        "message exceeds the frame limit of " + MAX_FRAME_BYTES + " bytes");
            }
            ByteBuffer frame = ByteBuffer.allocate(LENGTH_BYTES + payload.length);
            return frame.putInt(payload.length).put(payload).flip();
        } catch (IOException e) {
            throw new AssertionError("writing to memory does not fail", e);
        }
    }

    static Envelope decode(byte[] payload) throws PeerException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
            FieldReader in = new FieldReader(unpacker, payload.length);
            int type = unpacker.unpackInt();
            if (type < 0 || type >= Type.values().length) {
                throw malformed("unknown message type");
            }
            long correlation = unpacker.unpackLong();
            PeerMessage message = read(Type.values()[type], in);
            if (unpacker.hasNext()) {
                throw malformed("surplus bytes after the message");
            }
            return new Envelope(correlation, message);
        } catch (IOException | MessagePackException | IllegalArgumentException e) {
            throw malformed(e.getClass().getSimpleName());
        }
    }

    private static PeerException malformed(String detail) {
        return PeerException.rejected(
                PeerRejectReason.FRAME_MALFORMED, "frame cannot be decoded: " + detail);
    }

    private static void write(PeerMessage message, MessageBufferPacker out) throws IOException {
        if (message instanceof PeerMessage.Gossip gossip) {
            writeGossip(gossip, out);
        } else if (message instanceof PeerMessage.ConfigFetch fetch) {
            writeStrings(fetch.names(), out);
        } else if (message instanceof PeerMessage.ConfigValues values) {
            out.packLong(values.revision()).packLong(values.confirmationAgeMillis());
            out.packArrayHeader(values.values().size());
            for (PeerMessage.ConfigValue v : values.values()) {
                out.packString(v.name()).packLong(v.revision()).packString(v.json());
            }
        } else if (message instanceof PeerMessage.KeyHolderRequest f) {
            out.packString(f.requestId()).packString(f.workspace()).packString(f.workClass());
            out.packString(f.key()).packLong(f.deadlineMillis());
            writeBytes(f.body(), out);
            out.packInt(f.maxTokens());
        } else if (message instanceof PeerMessage.KeyHolderReply r) {
            out.packString(r.requestId()).packInt(r.status()).packString(r.errorCode());
            out.packInt(r.verdict().ordinal()).packString(r.output()).packString(r.stagesJson());
        } else if (message instanceof PeerMessage.PoisonNotice notice) {
            writePoison(notice.poison(), out);
        } else if (message instanceof PeerMessage.KeyHandover handover) {
            writeBytes(handover.offer(), out);
        } else if (message instanceof PeerMessage.KeyHandoverAck ack) {
            out.packString(ack.space()).packString(ack.successor()).packBoolean(ack.accepted());
        } else if (message instanceof PeerMessage.LeaveNotice leaving) {
            writeSender(leaving.sender(), out);
        } else if (message instanceof PeerMessage.Hello hello) {
            out.packInt(hello.version()).packString(hello.fleet());
            writeSender(hello.sender(), out);
            writeBytes(hello.nonce(), out);
        } else if (message instanceof PeerMessage.Proof proof) {
            writeBytes(proof.mac(), out);
        } else if (message instanceof PeerMessage.Notice<?> notice) {
            NoticeCodec.write(notice, out);
        } else if (message instanceof PeerMessage.SpeedNotice speeds) {
            NoticeCodec.writeSpeeds(speeds, out);
        } else if (OriginCodec.isHandled(message)) {
            OriginCodec.write(message, out);
        } else if (PublishedCodec.isHandled(message)) {
            PublishedCodec.write(message, out);
        } else {
            StageCodec.write(message, out);
        }
    }

    private static void writeGossip(PeerMessage.Gossip gossip, MessageBufferPacker out)
            throws IOException {
        writeSender(gossip.sender(), out);
        PeerMessage.ConfigState config = gossip.config();
        out.packLong(config.revision()).packString(config.digest());
        out.packLong(config.confirmationAgeMillis());
        out.packLong(gossip.vmListVersion()).packLong(gossip.vmListAgeMillis());
        out.packArrayHeader(gossip.warmth().size());
        for (PeerMessage.WarmthNotice w : gossip.warmth()) {
            out.packString(w.server()).packString(w.epoch());
            out.packBoolean(w.warm()).packLong(w.sequence());
        }
        writePoison(gossip.poison(), out);
        out.packBoolean(gossip.draining());
        writeStrings(gossip.heldKeySpaces(), out);
    }

    private static void writeSender(PeerMessage.Sender sender, MessageBufferPacker out)
            throws IOException {
        out.packString(sender.vm()).packString(sender.incarnation());
    }

    private static void writePoison(List<PeerMessage.PoisonState> poison, MessageBufferPacker out)
            throws IOException {
        out.packArrayHeader(poison.size());
        for (PeerMessage.PoisonState p : poison) {
            out.packString(p.fingerprint());
            writeStrings(p.crashes(), out);
            writeStrings(p.clearedCrashes(), out);
            out.packBoolean(p.confirmedPoison()).packLong(p.ageMillis());
        }
    }

    static void writeStrings(List<String> texts, MessageBufferPacker out) throws IOException {
        out.packArrayHeader(texts.size());
        for (String text : texts) {
            out.packString(text);
        }
    }

    static void writeBytes(byte[] bytes, MessageBufferPacker out) throws IOException {
        out.packBinaryHeader(bytes.length).writePayload(bytes);
    }

    private static PeerMessage read(Type type, FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.mUnpacker;
        return switch (type) {
            case GOSSIP -> readGossip(in);
            case CONFIG_FETCH -> new PeerMessage.ConfigFetch(in.list(in::text));
            case CONFIG_VALUES ->
                    new PeerMessage.ConfigValues(
                            unpacker.unpackLong(),
                            unpacker.unpackLong(),
                            in.list(
                                    () ->
                                            new PeerMessage.ConfigValue(
                                                    in.text(), unpacker.unpackLong(), in.text())));
            case FORWARD ->
                    new PeerMessage.KeyHolderRequest(
                            in.text(),
                            in.text(),
                            in.text(),
                            in.text(),
                            unpacker.unpackLong(),
                            in.bytes(),
                            unpacker.unpackInt());
            case FORWARD_REPLY ->
                    new PeerMessage.KeyHolderReply(
                            in.text(),
                            unpacker.unpackInt(),
                            in.text(),
                            in.verdict(),
                            in.text(),
                            in.text());
            case POISON_NOTICE -> new PeerMessage.PoisonNotice(in.list(in::poison));
            case POISON_ACK -> new PeerMessage.PoisonAck();
            case KEY_HANDOVER -> new PeerMessage.KeyHandover(in.bytes());
            case KEY_HANDOVER_ACK ->
                    new PeerMessage.KeyHandoverAck(in.text(), in.text(), unpacker.unpackBoolean());
            case LEAVING -> new PeerMessage.LeaveNotice(in.sender());
            case HEARTBEAT -> new PeerMessage.Heartbeat();
            case HELLO ->
                    new PeerMessage.Hello(unpacker.unpackInt(), in.text(), in.sender(), in.bytes());
            case PROOF -> new PeerMessage.Proof(in.bytes());
            case MEMBERS -> StageCodec.readMembers(in);
            case STAGE_ORDER -> StageCodec.readOrder(in);
            case STAGE_RESULTS -> StageCodec.readResults(in);
            case STAGE_GIVE_UP -> new PeerMessage.StageCancel(in.text());
            case STAGE_RELEASE -> StageCodec.readRelease(in);
            case STAGE_INPUTS_READ ->
                    new PeerMessage.StageInputsRead(in.text(), unpacker.unpackInt());
            case PUBLISHED_FETCH -> PublishedCodec.readFetch(in);
            case PUBLISHED_CHANGES -> PublishedCodec.readChanges(in);
            case STREAM_ORIGIN_COPIES -> OriginCodec.readCopies(in);
            case STREAM_ORIGIN_QUERY -> OriginCodec.readQuery(in);
            case STREAM_ORIGIN_ANSWER -> OriginCodec.readAnswer(in);
            case CRASH_NOTICE, RATE_NOTICE, LEAVING_NOTICE, SPEED_NOTICE -> readNotice(type, in);
        };
    }

    private static PeerMessage readNotice(Type type, FieldReader in) throws IOException {
        return switch (type) {
            case CRASH_NOTICE -> NoticeCodec.readCrashes(in);
            case RATE_NOTICE -> NoticeCodec.readRates(in);
            case LEAVING_NOTICE -> NoticeCodec.readLeaving(in);
            case SPEED_NOTICE -> NoticeCodec.readSpeeds(in);
            default -> throw new AssertionError(type);
        };
    }

    private static PeerMessage readGossip(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.mUnpacker;
        return new PeerMessage.Gossip(
                in.sender(),
                new PeerMessage.ConfigState(
                        unpacker.unpackLong(), in.text(), unpacker.unpackLong()),
                unpacker.unpackLong(),
                unpacker.unpackLong(),
                in.list(
                        () ->
                                new PeerMessage.WarmthNotice(
                                        in.text(),
                                        in.text(),
                                        unpacker.unpackBoolean(),
                                        unpacker.unpackLong())),
                in.list(in::poison),
                unpacker.unpackBoolean(),
                in.list(in::text));
    }

    /** Message types; the ordinal is sent on the wire, so new types are only added at the end. */
    private enum Type {
        GOSSIP(PeerMessage.Gossip.class),
        CONFIG_FETCH(PeerMessage.ConfigFetch.class),
        CONFIG_VALUES(PeerMessage.ConfigValues.class),
        FORWARD(PeerMessage.KeyHolderRequest.class),
        FORWARD_REPLY(PeerMessage.KeyHolderReply.class),
        POISON_NOTICE(PeerMessage.PoisonNotice.class),
        POISON_ACK(PeerMessage.PoisonAck.class),
        KEY_HANDOVER(PeerMessage.KeyHandover.class),
        KEY_HANDOVER_ACK(PeerMessage.KeyHandoverAck.class),
        LEAVING(PeerMessage.LeaveNotice.class),
        HEARTBEAT(PeerMessage.Heartbeat.class),
        HELLO(PeerMessage.Hello.class),
        PROOF(PeerMessage.Proof.class),
        MEMBERS(PeerMessage.MemberList.class),
        STAGE_ORDER(PeerMessage.StageOrder.class),
        STAGE_RESULTS(PeerMessage.StageResults.class),
        STAGE_GIVE_UP(PeerMessage.StageCancel.class),
        STAGE_RELEASE(PeerMessage.StageRelease.class),
        PUBLISHED_FETCH(PeerMessage.PublishedFetch.class),
        PUBLISHED_CHANGES(PeerMessage.PublishedChanges.class),
        CRASH_NOTICE(PeerMessage.CrashNotice.class),
        RATE_NOTICE(PeerMessage.RateNotice.class),
        LEAVING_NOTICE(PeerMessage.LeavingNotice.class),
        SPEED_NOTICE(PeerMessage.SpeedNotice.class),
        STAGE_INPUTS_READ(PeerMessage.StageInputsRead.class),
        STREAM_ORIGIN_COPIES(PeerMessage.StreamOriginCopies.class),
        STREAM_ORIGIN_QUERY(PeerMessage.StreamOriginQuery.class),
        STREAM_ORIGIN_ANSWER(PeerMessage.StreamOriginAnswer.class);

        private final Class<? extends PeerMessage> mMessageClass;

        Type(Class<? extends PeerMessage> type) {
            mMessageClass = type;
        }

        static Type of(PeerMessage message) {
            for (Type type : values()) {
                if (type.mMessageClass.isInstance(message)) {
                    return type;
                }
            }
            throw new AssertionError(message.getClass());
        }
    }

    /** Reads one item of a list. */
    interface ItemReader<T> {
        T read() throws IOException;
    }

    /** Reads message fields and bounds their lengths by the size of the frame. */
    static final class FieldReader {
        private final MessageUnpacker mUnpacker;
        private final int mFrameLength;

        FieldReader(MessageUnpacker unpacker, int frameLength) {
            mUnpacker = unpacker;
            mFrameLength = frameLength;
        }

        MessageUnpacker unpacker() {
            return mUnpacker;
        }

        String text() throws IOException {
            return new String(payload(mUnpacker.unpackRawStringHeader()), StandardCharsets.UTF_8);
        }

        byte[] bytes() throws IOException {
            return payload(mUnpacker.unpackBinaryHeader());
        }

        private byte[] payload(int length) throws IOException {
            if (length > mFrameLength - mUnpacker.getTotalReadBytes()) {
                throw new IllegalArgumentException("field length exceeds the frame");
            }
            return mUnpacker.readPayload(length);
        }

        <T> List<T> list(ItemReader<T> item) throws IOException {
            int size = mUnpacker.unpackArrayHeader();
            List<T> items = new ArrayList<>();
            for (int i = 0; i < size; i++) {
                items.add(item.read());
            }
            return items;
        }

        PeerMessage.Sender sender() throws IOException {
            return new PeerMessage.Sender(text(), text());
        }

        PeerMessage.PoisonState poison() throws IOException {
            return new PeerMessage.PoisonState(
                    text(),
                    list(this::text),
                    list(this::text),
                    mUnpacker.unpackBoolean(),
                    mUnpacker.unpackLong());
        }

        Verdict verdict() throws IOException {
            int ordinal = mUnpacker.unpackInt();
            if (ordinal < 0 || ordinal >= Verdict.values().length) {
                throw new IllegalArgumentException("unknown verdict ordinal");
            }
            return Verdict.values()[ordinal];
        }
    }
}
