package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bulrushvale.adapters.forward.CompletedPiece;
import org.bulrushvale.adapters.forward.PieceResult;
import org.bulrushvale.adapters.forward.StageJob;
import org.bulrushvale.adapters.peer.PeerMessage.StageResults;
import org.bulrushvale.adapters.settings.ForwardSettings;
import org.bulrushvale.decision.forward.RequestKind;
import org.bulrushvale.decision.forward.Route;
import org.bulrushvale.decision.forward.StageOrder;
import org.bulrushvale.decision.forward.StageStart;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against stage results that occupy memory for longer than needed, and against requests that
 * fail or never end because their stages start late or their results were released early.
 */
public class StageSchedulerTest {
    private static final List<Integer> NONE = List.of();

    private FakeExecutor mExecutor = new FakeExecutor();
    private Outcomes mOutcomes = new Outcomes();
    private FakeRequest mRequest = new FakeRequest(StageStart.EARLY);

    @BeforeMethod
    public void startEmpty() {
        mExecutor = new FakeExecutor();
        mOutcomes = new Outcomes();
        mRequest = new FakeRequest(StageStart.EARLY);
    }

    /** A job in progress. */
    private record Job(StageJob job, Runnable onInputsRead, Consumer<StageResults> onDone) {}

    private static final class FakeExecutor implements StageExecutor {
        private final Map<String, Job> mRunning = new HashMap<>();
        private final List<String> mStarted = new ArrayList<>();
        private final List<String> mReleased = new ArrayList<>();

        @Override
        public Runnable execute(
                StageJob job, Runnable onInputsRead, Consumer<StageResults> onDone) {
            mStarted.add(job.service());
            mRunning.put(job.service(), new Job(job, onInputsRead, onDone));
            return () -> mRunning.remove(job.service());
        }

        @Override
        public void release(String service, List<CompletedPiece> pieces) {
            pieces.forEach(piece -> mReleased.add(piece.handle()));
        }

        private void readInputs(String service) {
            job(service).onInputsRead().run();
        }

        private Job job(String service) {
            Job job = mRunning.get(service);
            if (job == null) {
                throw new AssertionError(service + " is not running");
            }
            return job;
        }

        private void complete(String service) {
            end(service, PieceResult.completed("result of " + service));
        }

        private void end(String service, PieceResult result) {
            Consumer<StageResults> onDone = job(service).onDone();
            mRunning.remove(service);
            onDone.accept(new StageResults(List.of(result), StageResults.NO_RETURN_TIME));
        }
    }

    private static final class Outcomes implements StageScheduler.Listener {
        private final List<String> mAll = new ArrayList<>();

        @Override
        public void stagesDone(List<String> inputHandles) {
            mAll.add("done with " + inputHandles);
        }

        @Override
        public void stagesFailed(PieceResult.Outcome outcome, long returnMillis) {
            mAll.add("failed: " + outcome);
        }
    }

    /** A request with five seconds to its limits. */
    private static final class FakeRequest implements StageScheduler.RequestContext {
        private final StageStart mStart;
        private final Map<String, Long> mTypicalMillis = new HashMap<>();

        FakeRequest(StageStart start) {
            mStart = start;
        }

        @Override
        public int rank() {
            return 0;
        }

        @Override
        public ForwardSettings.Stages stages() {
            return new ForwardSettings.Stages(
                    ForwardSettings.CollectorVms.ANY,
                    mStart,
                    ForwardSettings.InputRelease.AFTER_READ);
        }

        @Override
        public String workspace() {
            return "";
        }

        @Override
        public String domainOf(List<String> handles) {
            return "";
        }

        @Override
        public String readerDomain() {
            return "";
        }

        @Override
        public long millisToTarget() {
            return 2_000;
        }

        @Override
        public long millisToDeadline() {
            return 5_000;
        }

        @Override
        public long millisToGiveUp() {
            return 5_000;
        }

        @Override
        public ForwardSettings.Admission admission() {
            return new ForwardSettings.Admission(
                    false, false, false, StageOrder.TARGET_FIRST, false, false);
        }

        @Override
        public long typicalStageMillis(String service) {
            return mTypicalMillis.getOrDefault(service, 200L);
        }
    }

    private static Route.RouteStage stage(String service, List<Integer> dependencies) {
        return new Route.RouteStage(service, dependencies, 1_000);
    }

    private StageScheduler start(Route.RouteStage... stages) {
        Route route =
                new Route(
                        "route",
                        "host",
                        "/",
                        RequestKind.STREAM,
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(2),
                        0,
                        2,
                        List.of(new Route.Target("model", 1)),
                        List.of(stages),
                        false,
                        false,
                        Optional.empty());
        List<Integer> pieces = new ArrayList<>();
        for (int i = 0; i < stages.length; i++) {
            pieces.add(1);
        }
        StageScheduler scheduler =
                new StageScheduler(mExecutor, route, "r", "key", pieces, mRequest, mOutcomes);
        scheduler.startReadyStages();
        return scheduler;
    }

    private StageScheduler startChainBesideShortStage() {
        return start(
                stage("first", NONE),
                stage("second", List.of(0)),
                stage("third", List.of(1)),
                stage("short", NONE));
    }

    @Test
    public void early_starts_a_short_stage_at_once() {
        startChainBesideShortStage();
        assertThat(mExecutor.mStarted).containsExactly("first", "short");
    }

    @Test
    public void just_in_time_starts_a_short_stage_beside_the_end_of_a_chain() {
        // given
        mRequest = new FakeRequest(StageStart.JUST_IN_TIME);
        startChainBesideShortStage();
        assertThat(mExecutor.mStarted).containsExactly("first");
        // when
        mExecutor.complete("first");
        // then
        assertThat(mExecutor.mStarted).containsExactly("first", "second");
        // when
        mExecutor.complete("second");
        // then
        assertThat(mExecutor.mStarted).containsExactly("first", "second", "third", "short");
        // when
        mExecutor.complete("third");
        mExecutor.complete("short");
        // then
        assertThat(mOutcomes.mAll).containsExactly("done with [result of third, result of short]");
    }

    @Test
    public void just_in_time_does_not_start_a_short_stage_after_a_single_long_one() {
        // given
        mRequest = new FakeRequest(StageStart.JUST_IN_TIME);
        mRequest.mTypicalMillis.put("long", 600L);
        // when
        start(stage("long", NONE), stage("short", NONE));
        // then
        assertThat(mExecutor.mStarted).containsExactly("long", "short");
    }

    @Test
    public void inputs_are_released_at_the_end_of_the_next_stage_unless_it_reports_them_as_read() {
        // given
        start(stage("first", NONE), stage("second", List.of(0)));
        mExecutor.complete("first");
        assertThat(mExecutor.mReleased).isEmpty();
        // when
        mExecutor.complete("second");
        // then
        assertThat(mExecutor.mReleased).containsExactly("result of first");
    }

    @Test
    public void inputs_are_released_once_when_the_next_stage_has_read_them() {
        // given
        StageScheduler scheduler = start(stage("first", NONE), stage("second", List.of(0)));
        mExecutor.complete("first");
        // when
        mExecutor.readInputs("second");
        // then
        assertThat(mExecutor.mReleased).containsExactly("result of first");
        assertThat(mOutcomes.mAll).isEmpty();
        // when
        mExecutor.complete("second");
        scheduler.release();
        // then
        assertThat(mOutcomes.mAll).containsExactly("done with [result of second]");
        assertThat(mExecutor.mReleased).containsExactly("result of first", "result of second");
    }

    @Test
    public void inputs_are_kept_until_all_stages_that_need_them_have_read_them() {
        // given
        start(stage("first", NONE), stage("left", List.of(0)), stage("right", List.of(0)));
        mExecutor.complete("first");
        // when
        mExecutor.readInputs("left");
        mExecutor.complete("left");
        // then
        assertThat(mExecutor.mReleased).isEmpty();
        // when
        mExecutor.readInputs("right");
        // then
        assertThat(mExecutor.mReleased).containsExactly("result of first");
    }

    @Test
    public void a_stage_that_is_lost_after_its_inputs_were_released_ends_as_input_gone() {
        // given
        StageScheduler scheduler = start(stage("first", NONE), stage("second", List.of(0)));
        mExecutor.complete("first");
        mExecutor.readInputs("second");
        // when
        mExecutor.end("second", PieceResult.failed(PieceResult.Outcome.INPUT_GONE));
        // then
        assertThat(mOutcomes.mAll).containsExactly("failed: INPUT_GONE");
        // when the request repeats its stages
        scheduler.release();
        // then
        assertThat(mExecutor.mReleased).containsExactly("result of first");
        assertThat(mOutcomes.mAll).hasSize(1);
    }

    @Test
    public void nothing_is_released_by_a_report_after_the_end() {
        // given
        StageScheduler scheduler = start(stage("first", NONE), stage("second", List.of(0)));
        mExecutor.complete("first");
        Runnable lateReport = mExecutor.job("second").onInputsRead();
        scheduler.release();
        List<String> released = List.copyOf(mExecutor.mReleased);
        // when
        lateReport.run();
        // then
        assertThat(mExecutor.mReleased).isEqualTo(released);
    }
}
