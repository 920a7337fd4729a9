package org.bulrushvale.adapters.peer;

import java.io.IOException;
import java.util.List;
import org.bulrushvale.adapters.peer.PeerCodec.FieldReader;
import org.bulrushvale.decision.forward.StreamOrigin;
import org.msgpack.core.MessageBufferPacker;

/**
 * Encodes and decodes the fields of the messages about the origins of streams.
 *
 * <p>Thread safety: stateless.
 */
final class OriginCodec {
    private OriginCodec() {}

    static boolean isHandled(PeerMessage message) {
        return message instanceof PeerMessage.StreamOriginCopies
                || message instanceof PeerMessage.StreamOriginQuery
                || message instanceof PeerMessage.StreamOriginAnswer;
    }

    static void write(PeerMessage message, MessageBufferPacker out) throws IOException {
        if (message instanceof PeerMessage.StreamOriginCopies copies) {
            writeGroups(copies.groups(), out);
        } else if (message instanceof PeerMessage.StreamOriginQuery query) {
            out.packString(query.service());
            writeStreams(query.streams(), out);
        } else if (message instanceof PeerMessage.StreamOriginAnswer answer) {
            writeGroups(answer.found(), out);
            PeerCodec.writeStrings(answer.versions(), out);
            out.packBoolean(answer.complete());
        }
    }

    private static void writeGroups(List<PeerMessage.OriginGroup> groups, MessageBufferPacker out)
            throws IOException {
        out.packArrayHeader(groups.size());
        for (PeerMessage.OriginGroup group : groups) {
            out.packString(group.origin().service()).packString(group.origin().version());
            writeStreams(group.streams(), out);
        }
    }

    private static void writeStreams(List<Long> streams, MessageBufferPacker out)
            throws IOException {
        out.packArrayHeader(streams.size());
        for (long stream : streams) {
            out.packLong(stream);
        }
    }

    static PeerMessage readCopies(FieldReader in) throws IOException {
        return new PeerMessage.StreamOriginCopies(readGroups(in));
    }

    static PeerMessage readQuery(FieldReader in) throws IOException {
        return new PeerMessage.StreamOriginQuery(in.text(), readStreams(in));
    }

    static PeerMessage readAnswer(FieldReader in) throws IOException {
        return new PeerMessage.StreamOriginAnswer(
                readGroups(in), in.list(in::text), in.unpacker().unpackBoolean());
    }

    private static List<PeerMessage.OriginGroup> readGroups(FieldReader in) throws IOException {
        return in.list(
                () ->
                        new PeerMessage.OriginGroup(
                                new StreamOrigin(in.text(), in.text()), readStreams(in)));
    }

    private static List<Long> readStreams(FieldReader in) throws IOException {
        return in.list(in.unpacker()::unpackLong);
    }
}
