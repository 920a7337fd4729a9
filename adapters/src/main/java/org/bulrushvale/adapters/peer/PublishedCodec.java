package org.bulrushvale.adapters.peer;

import java.io.IOException;
import org.bulrushvale.adapters.peer.PeerCodec.FieldReader;
import org.bulrushvale.decision.forward.PublishedItem;
import org.bulrushvale.decision.forward.PublishedItems;
import org.bulrushvale.decision.forward.StoreRevision;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the fields of the messages that pass the published state on.
 *
 * <p>Thread safety: stateless.
 */
final class PublishedCodec {
    private PublishedCodec() {}

    static boolean isHandled(PeerMessage message) {
        return message instanceof PeerMessage.PublishedFetch
                || message instanceof PeerMessage.PublishedChanges;
    }

    static void write(PeerMessage message, MessageBufferPacker out) throws IOException {
        if (message instanceof PeerMessage.PublishedFetch fetch) {
            out.packArrayHeader(fetch.known().size());
            for (PeerMessage.KnownRevision known : fetch.known()) {
                out.packString(known.collection());
                writeRevision(known.revision(), out);
            }
        } else if (message instanceof PeerMessage.PublishedChanges changes) {
            out.packLong(changes.confirmationAgeMillis()).packBoolean(changes.storeReachable());
            out.packArrayHeader(changes.changes().size());
            for (PeerMessage.CollectionChanges c : changes.changes()) {
                out.packString(c.collection());
                writeUpdate(c.update(), out);
            }
        }
    }

    private static void writeUpdate(PublishedItems.Update update, MessageBufferPacker out)
            throws IOException {
        writeRevision(update.revision(), out);
        out.packBoolean(update.complete());
        out.packArrayHeader(update.items().size());
        for (PublishedItem item : update.items()) {
            out.packString(item.key());
            PeerCodec.writeBytes(item.value(), out);
            out.packLong(item.revision()).packBoolean(item.deleted());
        }
    }

    private static void writeRevision(StoreRevision revision, MessageBufferPacker out)
            throws IOException {
        out.packLong(revision.era()).packLong(revision.number());
    }

    private static StoreRevision readRevision(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new StoreRevision(unpacker.unpackLong(), unpacker.unpackLong());
    }

    static PeerMessage readFetch(FieldReader in) throws IOException {
        return new PeerMessage.PublishedFetch(
                in.list(() -> new PeerMessage.KnownRevision(in.text(), readRevision(in))));
    }

    static PeerMessage readChanges(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new PeerMessage.PublishedChanges(
                unpacker.unpackLong(),
                unpacker.unpackBoolean(),
                in.list(() -> new PeerMessage.CollectionChanges(in.text(), readUpdate(in))));
    }

    private static PublishedItems.Update readUpdate(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        StoreRevision revision = readRevision(in);
        boolean complete = unpacker.unpackBoolean();
        return new PublishedItems.Update(
                in.list(
                        () ->
                                new PublishedItem(
                                        in.text(),
                                        in.bytes(),
                                        unpacker.unpackLong(),
                                        unpacker.unpackBoolean())),
                revision,
                complete);
    }
}
