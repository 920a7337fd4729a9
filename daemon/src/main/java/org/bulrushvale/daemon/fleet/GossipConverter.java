package org.bulrushvale.daemon.fleet;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.retry.ContentFingerprint;
import org.bulrushvale.decision.retry.PoisonRecord;
import org.bulrushvale.decision.warmup.WarmthAnnouncement;

/**
 * Converts between the decision types and the fields of peer messages.
 *
 * <p>Invariant: malformed items of a peer are dropped. Thread safety: stateless.
 */
final class GossipConverter {
    private static final HexFormat HEX = HexFormat.of();
    private static final int LONG_DIGITS = 16;

    private GossipConverter() {}

    static String spaceToText(long incarnation) {
        return HEX.toHexDigits(incarnation);
    }

    static List<String> spacesToText(List<Long> incarnations) {
        return incarnations.stream().map(GossipConverter::spaceToText).toList();
    }

    static List<Long> parseSpaces(List<String> texts) {
        List<Long> spaces = new ArrayList<>();
        for (String text : texts) {
            if (isHex(text, LONG_DIGITS)) {
                spaces.add(HexFormat.fromHexDigitsToLong(text));
            }
        }
        return spaces;
    }

    static List<PeerMessage.WarmthNotice> warmthToMessage(List<WarmthAnnouncement> announcements) {
        return announcements.stream()
                .map(
                        a ->
                                new PeerMessage.WarmthNotice(
                                        a.server(), a.epoch(), a.warm(), a.sequence()))
                .toList();
    }

    static List<WarmthAnnouncement> parseWarmth(List<PeerMessage.WarmthNotice> warmth) {
        return warmth.stream()
                .map(w -> new WarmthAnnouncement(w.server(), w.epoch(), w.sequence(), w.warm()))
                .toList();
    }

    static List<PeerMessage.PoisonState> poisonToMessage(List<PoisonRecord> records) {
        return records.stream()
                .map(
                        r ->
                                new PeerMessage.PoisonState(
                                        HEX.toHexDigits(r.fingerprint().high())
                                                + HEX.toHexDigits(r.fingerprint().low()),
                                        List.copyOf(r.crashes()),
                                        List.copyOf(r.clearedCrashes()),
                                        r.confirmedPoison(),
                                        r.ageMs()))
                .toList();
    }

    static List<PoisonRecord> parsePoison(List<PeerMessage.PoisonState> poison) {
        List<PoisonRecord> records = new ArrayList<>();
        for (PeerMessage.PoisonState item : poison) {
            String text = item.fingerprint();
            if (isHex(text, 2 * LONG_DIGITS)) {
                ContentFingerprint fingerprint =
                        new ContentFingerprint(
                                HexFormat.fromHexDigitsToLong(text, 0, LONG_DIGITS),
                                HexFormat.fromHexDigitsToLong(text, LONG_DIGITS, 2 * LONG_DIGITS));
                records.add(
                        new PoisonRecord(
                                fingerprint,
                                Set.copyOf(item.crashes()),
                                Set.copyOf(item.clearedCrashes()),
                                item.confirmedPoison(),
                                item.ageMillis()));
            }
        }
        return records;
    }

    private static boolean isHex(String text, int digits) {
        return text.length() == digits && text.chars().allMatch(HexFormat::isHexDigit);
    }
}
