package org.bulrushvale.adapters.peer;

import java.io.IOException;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerCodec.FieldReader;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the fields of the messages about members and stages.
 *
 * <p>Thread safety: stateless.
 */
final class StageCodec {
    private StageCodec() {}

    static void write(PeerMessage message, MessageBufferPacker out) throws IOException {
        if (message instanceof PeerMessage.MemberList members) {
            out.packArrayHeader(members.members().size());
            for (PeerMessage.Member m : members.members()) {
                out.packString(m.vm()).packString(m.failureDomain());
                out.packBoolean(m.leaving())
                        .packBoolean(m.overloaded())
                        .packLong(m.ageMillis())
                        .packInt(m.capacity());
            }
        } else if (message instanceof PeerMessage.StageOrder order) {
            writeJob(order.job(), out);
        } else if (message instanceof PeerMessage.StageResults results) {
            out.packLong(results.retryAfterMillis());
            out.packArrayHeader(results.results().size());
            for (PieceResult r : results.results()) {
                out.packInt(r.outcome().ordinal()).packString(r.handle());
            }
        } else if (message instanceof PeerMessage.StageCancel cancel) {
            out.packString(cancel.requestId());
        } else if (message instanceof PeerMessage.StageInputsRead read) {
            out.packString(read.requestId()).packInt(read.stage());
        } else if (message instanceof PeerMessage.StageRelease release) {
            out.packString(release.service()).packArrayHeader(release.pieces().size());
            for (CompletedPiece p : release.pieces()) {
                out.packString(p.requestId()).packInt(p.stage()).packInt(p.piece());
                out.packString(p.handle());
            }
        }
    }

    static PeerMessage readMembers(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new PeerMessage.MemberList(
                in.list(
                        () ->
                                new PeerMessage.Member(
                                        in.text(),
                                        in.text(),
                                        unpacker.unpackBoolean(),
                                        unpacker.unpackBoolean(),
                                        unpacker.unpackLong(),
                                        unpacker.unpackInt())));
    }

    private static void writeJob(StageJob job, MessageBufferPacker out) throws IOException {
        out.packString(job.service()).packLong(job.startByMillis());
        out.packLong(job.giveUpMillis()).packInt(job.rank()).packString(job.workspace());
        out.packLong(job.resultBytes());
        out.packString(job.preferredDomain());
        out.packArrayHeader(job.pieces().size());
        for (PieceOrder p : job.pieces()) {
            out.packString(p.requestId()).packInt(p.stage()).packInt(p.piece());
            out.packLong(p.remainingMillis()).packString(p.key());
            PeerCodec.writeStrings(p.inputs(), out);
        }
    }

    static PeerMessage readOrder(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        String service = in.text();
        long startByMillis = unpacker.unpackLong();
        long giveUpMillis = unpacker.unpackLong();
        int rank = unpacker.unpackInt();
        String workspace = in.text();
        long resultBytes = unpacker.unpackLong();
        String preferredDomain = in.text();
        return new PeerMessage.StageOrder(
                new StageJob(
                        service,
                        in.list(
                                () ->
                                        new PieceOrder(
                                                in.text(),
                                                unpacker.unpackInt(),
                                                unpacker.unpackInt(),
                                                unpacker.unpackLong(),
                                                in.text(),
                                                in.list(in::text))),
                        startByMillis,
                        giveUpMillis,
                        rank,
                        workspace,
                        resultBytes,
                        preferredDomain));
    }

    static PeerMessage readResults(FieldReader in) throws IOException {
        long retryAfterMillis = in.unpacker().unpackLong();
        return new PeerMessage.StageResults(
                in.list(() -> new PieceResult(outcome(in.unpacker().unpackInt()), in.text())),
                retryAfterMillis);
    }

    private static PieceResult.Outcome outcome(int ordinal) {
        PieceResult.Outcome[] outcomes = PieceResult.Outcome.values();
        if (ordinal < 0 || ordinal >= outcomes.length) {
            throw new IllegalArgumentException("unknown outcome ordinal");
        }
        return outcomes[ordinal];
    }

    static PeerMessage readRelease(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new PeerMessage.StageRelease(
                in.text(),
                in.list(
                        () ->
                                new CompletedPiece(
                                        in.text(),
                                        unpacker.unpackInt(),
                                        unpacker.unpackInt(),
                                        in.text())));
    }
}
