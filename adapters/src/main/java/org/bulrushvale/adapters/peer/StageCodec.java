package org.bulrushvale.adapters.peer;

import java.io.IOException;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerCodec.Reader;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Fields of the messages about members and stages.
 *
 * <p>Thread safety: stateless.
 */
final class StageCodec {
    private StageCodec() {}

    static void write(PeerMessage message, MessageBufferPacker out) throws IOException {
        if (message instanceof PeerMessage.MemberList members) {
            out.packArrayHeader(members.members().size());
            for (PeerMessage.Member m : members.members()) {
                out.packString(m.vm()).packBoolean(m.leaving()).packLong(m.ageMillis());
            }
        } else if (message instanceof PeerMessage.StageOrder order) {
            writeJob(order.job(), out);
        } else if (message instanceof PeerMessage.StageResults results) {
            out.packArrayHeader(results.results().size());
            for (PieceResult r : results.results()) {
                out.packInt(r.outcome().ordinal()).packString(r.handle());
            }
        } else if (message instanceof PeerMessage.StageCancel giveUp) {
            out.packString(giveUp.requestId());
        } else if (message instanceof PeerMessage.StageRelease release) {
            out.packString(release.service()).packArrayHeader(release.pieces().size());
            for (CompletedPiece p : release.pieces()) {
                out.packString(p.requestId()).packInt(p.stage()).packInt(p.piece());
                out.packString(p.handle());
            }
        }
    }

    private static void writeJob(StageJob job, MessageBufferPacker out) throws IOException {
        out.packString(job.service()).packLong(job.startByMillis());
        out.packLong(job.giveUpMillis()).packInt(job.rank()).packLong(job.resultBytes());
        out.packString(job.preferredDomain());
        out.packArrayHeader(job.pieces().size());
        for (PieceOrder p : job.pieces()) {
            out.packString(p.requestId()).packInt(p.stage()).packInt(p.piece());
            out.packLong(p.leftMillis()).packString(p.key());
            PeerCodec.writeStrings(p.inputs(), out);
        }
    }

    static PeerMessage readOrder(Reader in) throws IOException {
        MessageUnpacker raw = in.raw();
        String service = in.text();
        long startBy = raw.unpackLong();
        long giveUp = raw.unpackLong();
        int rank = raw.unpackInt();
        long bytes = raw.unpackLong();
        String domain = in.text();
        return new PeerMessage.StageOrder(
                new StageJob(
                        service,
                        in.list(
                                () ->
                                        new PieceOrder(
                                                in.text(),
                                                raw.unpackInt(),
                                                raw.unpackInt(),
                                                raw.unpackLong(),
                                                in.text(),
                                                in.list(in::text))),
                        startBy,
                        giveUp,
                        rank,
                        bytes,
                        domain));
    }

    static PeerMessage readResults(Reader in) throws IOException {
        return new PeerMessage.StageResults(
                in.list(() -> new PieceResult(outcome(in.raw().unpackInt()), in.text())));
    }

    private static PieceResult.Outcome outcome(int ordinal) {
        PieceResult.Outcome[] outcomes = PieceResult.Outcome.values();
        if (ordinal < 0 || ordinal >= outcomes.length) {
            throw new IllegalArgumentException("unknown outcome");
        }
        return outcomes[ordinal];
    }

    static PeerMessage readRelease(Reader in) throws IOException {
        MessageUnpacker raw = in.raw();
        return new PeerMessage.StageRelease(
                in.text(),
                in.list(
                        () ->
                                new CompletedPiece(
                                        in.text(), raw.unpackInt(), raw.unpackInt(), in.text())));
    }
}
