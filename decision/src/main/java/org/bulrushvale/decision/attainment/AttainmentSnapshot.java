package org.bulrushvale.decision.attainment;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;

/**
 * Attainment of one entry, or the sum over several, as returned by {@code GET /v1/burn}.
 *
 * <p>Invariant: at most one row per class and workspace group. Thread safety: the list of rows is
 * immutable; the histograms in the rows must be used by one thread only, so a snapshot is passed to
 * other threads as JSON.
 *
 * @param entry name of the entry, or the names of the summed entries separated by commas
 * @param rows one row for each class and workspace group
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record AttainmentSnapshot(String entry, List<AttainmentRow> rows) {
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    public AttainmentSnapshot {
        rows = List.copyOf(rows);
    }

    /** Returns the sum of two snapshots. */
    public AttainmentSnapshot plus(AttainmentSnapshot other) {
        Map<List<String>, AttainmentRow> sum = new LinkedHashMap<>();
        for (List<AttainmentRow> part : List.of(rows, other.rows)) {
            for (AttainmentRow row : part) {
                sum.merge(List.of(row.workClass(), row.group()), row, AttainmentRow::plus);
            }
        }
        return new AttainmentSnapshot(entry + "," + other.entry, List.copyOf(sum.values()));
    }

    /** Returns the snapshot as JSON. */
    public String toJson() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("attainment snapshot cannot be written as JSON", e);
        }
    }

    /** Parses a snapshot from the JSON that an entry returned. */
    public static AttainmentSnapshot fromJson(String json) throws BulrushvaleException {
        try {
            return MAPPER.readValue(json, AttainmentSnapshot.class);
        } catch (JsonProcessingException e) {
            throw malformed();
        }
    }

    private static BulrushvaleException malformed() {
        return new BulrushvaleException(
                ErrorCode.FRAME_INVALID,
                Verdict.NOT_RUN,
                "attainment snapshot is not valid JSON of the expected form");
    }
}
