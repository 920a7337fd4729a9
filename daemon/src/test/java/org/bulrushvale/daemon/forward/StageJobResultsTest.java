package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.adapters.forward.PieceOrder;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerMessage.StageResults;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against the release of stage results that a piece still has to read. */
public class StageJobResultsTest {
    private int mReports;
    private List<StageResults> mAnswers = new ArrayList<>();
    private List<QueuedPiece> mPieces = new ArrayList<>();

    @BeforeMethod
    public void startJobOfTwoPieces() {
        mReports = 0;
        mAnswers = new ArrayList<>();
        mPieces = new ArrayList<>();
        List<PieceOrder> orders =
                List.of(
                        new PieceOrder("r", 1, 0, 1_000, "", List.of("input")),
                        new PieceOrder("r", 1, 1, 1_000, "", List.of("input")));
        StageJob job = new StageJob("second", orders, 500, 900, 0, "", 1, "");
        StageJobResults results = new StageJobResults(2, () -> mReports++, mAnswers::add);
        for (int i = 0; i < orders.size(); i++) {
            int index = i;
            QueuedPiece piece =
                    new QueuedPiece(
                            job,
                            orders.get(i),
                            0,
                            (result, millis) -> results.add(index, result, millis));
            piece.setInputReads(results);
            mPieces.add(piece);
        }
    }

    @Test
    public void inputs_are_reported_once_when_all_pieces_have_read_them() {
        mPieces.get(0).recordInputsRead();
        assertThat(mReports).isZero();
        mPieces.get(1).recordInputsRead();
        mPieces.get(1).recordInputsRead();
        assertThat(mReports).isEqualTo(1);
    }

    @Test
    public void inputs_are_kept_while_a_repeated_piece_waits() {
        // given a piece whose call was lost after its server had read the inputs
        mPieces.get(0).recordInputsRead();
        assertThat(mPieces.get(0).recordRepeat()).isTrue();
        // when
        mPieces.get(1).recordInputsRead();
        // then
        assertThat(mReports).isZero();
        // when
        mPieces.get(0).recordInputsRead();
        // then
        assertThat(mReports).isEqualTo(1);
    }

    @Test
    public void a_piece_is_not_repeated_once_its_inputs_may_be_released() {
        mPieces.forEach(QueuedPiece::recordInputsRead);
        assertThat(mPieces.get(0).recordRepeat()).isFalse();
    }

    @Test
    public void a_cancelled_piece_reports_nothing() {
        // given
        mPieces.forEach(QueuedPiece::abandon);
        // when its call goes on
        mPieces.forEach(QueuedPiece::recordInputsRead);
        // then
        assertThat(mReports).isZero();
    }

    @Test
    public void a_job_whose_inputs_were_reported_ends_with_the_outcome_of_its_pieces() {
        // given
        mPieces.forEach(QueuedPiece::recordInputsRead);
        // when
        mPieces.get(0).deliver(PieceResult.completed("handle"));
        mPieces.get(1).deliver(PieceResult.failed(PieceResult.Outcome.INPUT_GONE));
        // then
        assertThat(mAnswers).hasSize(1);
        assertThat(mAnswers.get(0).results())
                .extracting(PieceResult::outcome)
                .containsExactly(PieceResult.Outcome.MADE, PieceResult.Outcome.INPUT_GONE);
    }
}
