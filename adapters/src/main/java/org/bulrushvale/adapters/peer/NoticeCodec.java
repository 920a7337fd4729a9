package org.bulrushvale.adapters.peer;

import java.io.IOException;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.bulrushvale.adapters.peer.PeerCodec.FieldReader;
import org.bulrushvale.decision.forward.LeavingServer;
import org.bulrushvale.decision.forward.ObservedSpeed;
import org.bulrushvale.decision.forward.StatedRate;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.retry.CrashRecord;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the records that entries share.
 *
 * <p>Thread safety: stateless.
 */
final class NoticeCodec {
    private static final long NEVER_ANSWERED = -1;
    private static final double NO_RATE = -1;

    private NoticeCodec() {}

    static void write(PeerMessage.Notice<?> notice, MessageBufferPacker out) throws IOException {
        out.packLong(notice.digest());
        out.packArrayHeader(notice.records().size());
        if (notice instanceof PeerMessage.RateNotice rates) {
            for (StatedRate rate : rates.records()) {
                out.packString(rate.process());
                out.packDouble(rate.requestsPerSecond().orElse(NO_RATE));
                out.packLong(rate.ageMillis());
            }
        } else if (notice instanceof PeerMessage.CrashNotice crashes) {
            writeCrashes(crashes, out);
        } else if (notice instanceof PeerMessage.LeavingNotice leaving) {
            for (LeavingServer server : leaving.records()) {
                out.packString(server.process()).packLong(server.ageMillis());
            }
        }
    }

    private static void writeCrashes(PeerMessage.CrashNotice notice, MessageBufferPacker out)
            throws IOException {
        for (CrashRecord record : notice.records()) {
            out.packLong(record.content().high()).packLong(record.content().low());
            out.packArrayHeader(record.crashes().size());
            for (CrashRecord.Crash crash : record.crashes()) {
                out.packString(crash.process()).packInt(crash.depth()).packLong(crash.ageMillis());
            }
            out.packLong(record.answeredAgeMillis().orElse(NEVER_ANSWERED));
        }
    }

    static PeerMessage.CrashNotice readCrashes(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new PeerMessage.CrashNotice(unpacker.unpackLong(), in.list(() -> readRecord(in)));
    }

    static PeerMessage.RateNotice readRates(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new PeerMessage.RateNotice(
                unpacker.unpackLong(),
                in.list(
                        () ->
                                new StatedRate(
                                        in.text(),
                                        rate(unpacker.unpackDouble()),
                                        unpacker.unpackLong())));
    }

    static PeerMessage.LeavingNotice readLeaving(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new PeerMessage.LeavingNotice(
                unpacker.unpackLong(),
                in.list(() -> new LeavingServer(in.text(), unpacker.unpackLong())));
    }

    static void writeSpeeds(PeerMessage.SpeedNotice notice, MessageBufferPacker out)
            throws IOException {
        out.packArrayHeader(notice.speeds().size());
        for (ObservedSpeed speed : notice.speeds()) {
            out.packLong(speed.process()).packInt(speed.percent()).packLong(speed.ageMillis());
        }
    }

    static PeerMessage.SpeedNotice readSpeeds(FieldReader in) throws IOException {
        MessageUnpacker unpacker = in.unpacker();
        return new PeerMessage.SpeedNotice(
                in.list(
                        () ->
                                new ObservedSpeed(
                                        unpacker.unpackLong(),
                                        unpacker.unpackInt(),
                                        unpacker.unpackLong())));
    }

    private static OptionalDouble rate(double value) {
        return value >= 0 ? OptionalDouble.of(value) : OptionalDouble.empty();
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
