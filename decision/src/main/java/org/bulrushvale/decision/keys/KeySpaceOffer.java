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
 * Snapshot of a key space, addressed to one incarnation of one successor.
 *
 * <p>Invariants: the encoded form is at most {@link #MAX_ENCODED_BYTES} long; outputs that do not
 * fit are left out, records never are. Thread safety: immutable.
 *
 * @param space incarnation that issued the keys
 * @param successor incarnation of the process that the offer is addressed to
 * @param spaceNowMillis reading of the clock of the space when the holder stopped
 * @param closedMillis reading after which no key of the space was issued
 * @param records all records
 */
public record KeySpaceOffer(
        long space,
        long successor,
        long spaceNowMillis,
        long closedMillis,
        List<KeyRecord> records) {
    /** Longest encoded offer; fits into one peer frame. */
    public static final int MAX_ENCODED_BYTES = 1 << 20;

    private static final int FORMAT = 2;
    private static final int HEADER_BYTES = 1 + 4 * Long.BYTES + Integer.BYTES;
    private static final int RECORD_BYTES = 4 * Long.BYTES + 1 + 2 * Integer.BYTES;
    private static final int NO_OUTPUT = -1;

    public KeySpaceOffer {
        records = List.copyOf(records);
        if (records.size() > KeyLedger.MAX_RECORDS) {
            throw new IllegalArgumentException("too many records");
        }
    }

    KeySpaceOffer addressedTo(long otherSuccessor) {
        return new KeySpaceOffer(space, otherSuccessor, spaceNowMillis, closedMillis, records);
    }

    /** Returns the binary form. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        int spare = MAX_ENCODED_BYTES - HEADER_BYTES - records.size() * RECORD_BYTES;
        try {
            out.writeByte(FORMAT);
            out.writeLong(space);
            out.writeLong(successor);
            out.writeLong(spaceNowMillis);
            out.writeLong(closedMillis);
            out.writeInt(records.size());
            for (KeyRecord record : records) {
                spare -= write(record, spare, out);
            }
        } catch (IOException e) {
            throw new AssertionError("writing to memory does not fail", e);
        }
        return bytes.toByteArray();
    }

    private static int write(KeyRecord record, int spare, DataOutputStream out) throws IOException {
        KeyOutcome outcome = record.outcome();
        if (outcome == null) {
            throw new IllegalStateException("a running record is never offered");
        }
        out.writeLong(record.sequence());
        out.writeLong(record.issuedMillis());
        out.writeLong(record.body().high());
        out.writeLong(record.body().low());
        out.writeByte(outcome.kind().ordinal());
        out.writeInt(outcome.status());
        String text = outcome.output();
        byte[] output = text == null ? null : text.getBytes(StandardCharsets.UTF_8);
        if (output == null || output.length > spare) {
            out.writeInt(NO_OUTPUT);
            return 0;
        }
        out.writeInt(output.length);
        out.write(output);
        return output.length;
    }

    /** Reads the binary form; any defect rejects the whole offer. */
    public static KeySpaceOffer decode(byte[] bytes) throws BulrushvaleException {
        if (bytes.length > MAX_ENCODED_BYTES) {
            throw invalid("offer is too long");
        }
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            if (in.readByte() != FORMAT) {
                throw invalid("offer has an unknown format");
            }
            long space = in.readLong();
            long successor = in.readLong();
            long now = in.readLong();
            long closed = in.readLong();
            int count = in.readInt();
            if (closed > now) {
                throw invalid("offer has keys from the future");
            }
            if (count < 0 || count > KeyLedger.MAX_RECORDS) {
                throw invalid("offer has a wrong number of records");
            }
            List<KeyRecord> records = new ArrayList<>();
            Set<Long> sequences = new HashSet<>();
            for (int i = 0; i < count; i++) {
                KeyRecord record = read(in);
                records.add(record);
                sequences.add(record.sequence());
            }
            if (sequences.size() < count) {
                throw invalid("offer has two records of one key");
            }
            if (in.available() > 0) {
                throw invalid("offer has surplus bytes");
            }
            return new KeySpaceOffer(space, successor, now, closed, records);
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
            throw invalid("offer has an output of a wrong length");
        }
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    private static BulrushvaleException invalid(String detail) {
        return new BulrushvaleException(ErrorCode.FRAME_INVALID, Verdict.NOT_RUN, detail);
    }
}
