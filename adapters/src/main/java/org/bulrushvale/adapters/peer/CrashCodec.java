package org.bulrushvale.adapters.peer;

import java.io.IOException;
import java.util.OptionalLong;
import org.bulrushvale.adapters.peer.PeerCodec.FieldReader;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.retry.CrashRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes notices of crashes beside contents.
 *
 * <p>Thread safety: stateless.
 */
final class CrashCodec {
    private static final long NEVER_ANSWERED = -1;

    private CrashCodec() {}

    static void write(PeerMessage.CrashNotice notice, MessageBufferPacker out) throws IOException {
        out.packLong(notice.digest());
        out.packArrayHeader(notice.records().size());
        for (CrashRecord record : notice.records()) {
            out.packLong(record.content().high()).packLong(record.content().low());
            out.packArrayHeader(record.crashes().size());
            for (CrashRecord.Crash crash : record.crashes()) {
                out.packString(crash.process()).packInt(crash.depth()).packLong(crash.ageMillis());
            }
            out.packLong(record.answeredAgeMillis().orElse(NEVER_ANSWERED));
        }
    }

    static PeerMessage.CrashNotice read(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new PeerMessage.CrashNotice(unpacker.unpackLong(), in.list(() -> readRecord(in)));
    }

    private static CrashRecord readRecord(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new CrashRecord(
                new ContentFingerprint(unpacker.unpackLong(), unpacker.unpackLong()),
                in.list(
                        () ->
                                new CrashRecord.Crash(
                                        in.text(), unpacker.unpackInt(), unpacker.unpackLong())),
                answeredAge(unpacker.unpackLong()));
    }

    private static OptionalLong answeredAge(long millis) {
        return millis < 0 ? OptionalLong.empty() : OptionalLong.of(millis);
    }
}
