package org.bulrushvale.decision.keys;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.jspecify.annotations.Nullable;

/**
 * Snapshot of a key space that its holder offers to one incarnation of one successor.
 *
 * <p>Invariants: the encoded form is at most {@link #MAX_ENCODED_BYTES} long; outputs that do not
 * fit are left out, records never are. Thread safety: immutable.
 *
 * @param space incarnation that issued the keys
 * @param successor incarnation of the process that the offer is addressed to
 * @param spaceNowMillis time on the clock of the space when the holder closed it
 * @param issueEndMillis time on the clock of the space after which no key was issued
 * @param records records of all presented keys
 */
public record KeySpaceOffer(
        long space,
        long successor,
        long spaceNowMillis,
        long issueEndMillis,
        List<KeyRecord> records) {
    /** Maximum length of the binary form, which fits into one peer frame. */
    public static final int MAX_ENCODED_BYTES = 1 << 20;

    private static final int FORMAT = 2;
    private static final int HEADER_BYTES = 1 + 4 * Long.BYTES + Integer.BYTES;
    private static final int RECORD_BYTES = 4 * Long.BYTES + 1 + 2 * Integer.BYTES;

    /** Length that marks a record without output. */
    private static final int NO_OUTPUT = -1;

    public KeySpaceOffer {
        records = List.copyOf(records);
        if (records.size() > KeyLedger.MAX_RECORDS) {
            throw new IllegalArgumentException("offer has more records than a key space can hold");
        }
    }

    KeySpaceOffer withSuccessor(long otherSuccessor) {
        return new KeySpaceOffer(space, otherSuccessor, spaceNowMillis, issueEndMillis, records);
    }

    /** Returns the binary form. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        int spareBytes = MAX_ENCODED_BYTES - HEADER_BYTES - records.size() * RECORD_BYTES;
        try {
            out.writeByte(FORMAT);
            out.writeLong(space);
            out.writeLong(successor);
            out.writeLong(spaceNowMillis);
            out.writeLong(issueEndMillis);
            out.writeInt(records.size());
            for (KeyRecord record : records) {
                spareBytes -= write(record, spareBytes, out);
            }
        } catch (IOException e) {
            throw new AssertionError("writing to memory does not fail", e);
        }
        return bytes.toByteArray();
    }

    private static int write(KeyRecord record, int spareBytes, DataOutputStream out)
            throws IOException {
        KeyOutcome outcome = record.outcome();
        if (outcome == null) {
            throw new IllegalStateException("record of a running request cannot be encoded");
        }
        out.writeLong(record.sequence());
        out.writeLong(record.issuedMillis());
        out.writeLong(record.body().high());
        out.writeLong(record.body().low());
        out.writeByte(outcome.kind().ordinal());
        out.writeInt(outcome.status());
        String text = outcome.output();
        byte[] output = text == null ? null : text.getBytes(StandardCharsets.UTF_8);
        if (output == null || output.length > spareBytes) {
            out.writeInt(NO_OUTPUT);
            return 0;
        }
        out.writeInt(output.length);
        out.write(output);
        return output.length;
    }

    /** Reads the binary form; rejects the whole offer if any part of it is invalid. */
    public static KeySpaceOffer decode(byte[] bytes) throws BulrushvaleException {
        if (bytes.length > MAX_ENCODED_BYTES) {
            throw invalid("offer is longer than 1 MiB");
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            if (in.readByte() != FORMAT) {
                throw invalid("offer has an unknown format");
            }
            long space = in.readLong();
            long successor = in.readLong();
            long spaceNow = in.readLong();
            long issueEnd = in.readLong();
            int count = in.readInt();
            if (issueEnd > spaceNow) {
                throw invalid("offer has an end of key issue after the clock reading of the space");
            }
            if (count < 0 || count > KeyLedger.MAX_RECORDS) {
                throw invalid("offer has a number of records out of range");
            }
            List<KeyRecord> records = new ArrayList<>();
            Set<Long> sequences = new HashSet<>();
            for (int i = 0; i < count; i++) {
                KeyRecord record = read(in);
                records.add(record);
                sequences.add(record.sequence());
            }
            if (sequences.size() < count) {
                throw invalid("offer has two records with the same sequence");
            }
            if (in.available() > 0) {
                throw invalid("offer has bytes after the last record");
            }
            return new KeySpaceOffer(space, successor, spaceNow, issueEnd, records);
        } catch (IOException | IllegalArgumentException e) {
            throw invalid("offer is truncated or malformed");
        }
    }

    private static KeyRecord read(DataInputStream in) throws IOException, BulrushvaleException {
        long sequence = in.readLong();
        long issued = in.readLong();
        BodyFingerprint body = new BodyFingerprint(in.readLong(), in.readLong());
        int kind = in.readByte();
        int status = in.readInt();
        String output = readOutput(in);
        if (kind == KeyOutcome.Kind.DONE.ordinal()) {
            return new KeyRecord(sequence, issued, body, KeyOutcome.done(status, output));
        }
        if (kind == KeyOutcome.Kind.UNKNOWN.ordinal()) {
            return new KeyRecord(sequence, issued, body, KeyOutcome.unknown());
        }
        throw invalid("offer has a record of an unknown kind");
    }

    private static @Nullable String readOutput(DataInputStream in)
            throws IOException, BulrushvaleException {
        int length = in.readInt();
        if (length == NO_OUTPUT) {
            return null;
        }
        if (length < 0 || length > in.available()) {
            throw invalid("offer has an output with a length out of range");
        }
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static BulrushvaleException invalid(String detail) {
        return new BulrushvaleException(ErrorCode.FRAME_INVALID, Verdict.NOT_RUN, detail);
    }
}
