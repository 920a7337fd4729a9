package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.testng.annotations.Test;

/** Guards against a piece that fails because its duplicate was refused or could not start. */
public class QueuedPieceTest {
    private final List<PieceResult> mResults = new ArrayList<>();
    private final List<QueuedPiece.DuplicateEnd> mEnds = new ArrayList<>();

    private QueuedPiece piece() {
        PieceOrder order = new PieceOrder("r", 0, 0, 2_000, "k", List.of());
        StageJob job = new StageJob("stage", List.of(order), 100, 500, 1, "w", 10, "");
        return new QueuedPiece(job, order, 7, (result, returnMillis) -> mResults.add(result));
    }

    @Test
    public void a_refused_duplicate_leaves_its_piece_in_progress() {
        mResults.clear();
        mEnds.clear();
        // given
        QueuedPiece piece = piece();
        QueuedPiece duplicate = piece.duplicate(List.of("slow", "cold"), mEnds::add);
        // when
        duplicate.refuse(OptionalLong.of(100));
        duplicate.withdrawUnlessStarted();
        // then
        assertThat(mResults).isEmpty();
        assertThat(mEnds).containsExactly(QueuedPiece.DuplicateEnd.FAILED);
        assertThat(duplicate.isAbandoned()).isTrue();
        assertThat(piece.isAbandoned()).isFalse();
        assertThat(piece.deliver(PieceResult.failed(PieceResult.Outcome.FAILED))).isTrue();
        assertThat(mResults).hasSize(1);
    }

    @Test
    public void a_duplicate_keeps_the_times_of_its_piece_and_avoids_the_servers_it_must_not_have() {
        QueuedPiece piece = piece();
        piece.avoid("failed");
        // when
        QueuedPiece duplicate = piece.duplicate(List.of("slow", "cold"), mEnds::add);
        // then
        assertThat(List.of("failed", "slow", "cold")).allMatch(duplicate::avoids);
        assertThat(piece.avoids("slow")).isFalse();
        assertThat(duplicate.createdNanos()).isEqualTo(piece.createdNanos());
        assertThat(duplicate.giveUpNanos()).isEqualTo(piece.giveUpNanos());
        assertThat(duplicate.latestStartNanos()).isEqualTo(piece.latestStartNanos());
        assertThat(duplicate.deadlineNanos()).isEqualTo(piece.deadlineNanos());
    }
}
