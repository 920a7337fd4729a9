package org.bulrushvale.decision.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.bulrushvale.decision.membership.SharedRecords;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.Test;

/** Guards against sound content that is held back beside the content that crashes servers. */
public class CrashSuspectsTest {
    private static final ContentFingerprint DEADLY = part("deadly");
    private static final ContentFingerprint SUBJECT = part("subject");
    private static final ContentFingerprint TEMPLATE = part("template");

    private static final Object TRIED = "tried request";
    private static final Object OTHER = "other request";

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    private static ContentFingerprint part(String name) {
        return ContentFingerprint.of("model", name);
    }

    private List<CrashRecord> crash(
            CrashSuspects suspects, String process, List<ContentFingerprint> contents) {
        long known = suspects.onAttemptStarted(contents, TRIED);
        mClock.advance(Duration.ofMillis(100));
        return suspects.onCrash(contents, process, known);
    }

    @Test
    public void three_crashes_in_a_row_hold_content_back_that_was_never_answered() {
        CrashSuspects suspects = new CrashSuspects(mClock);
        // when
        crash(suspects, "s1", List.of(TEMPLATE, DEADLY));
        suspects.onAnswered(List.of(TEMPLATE));
        crash(suspects, "s2", List.of(TEMPLATE, DEADLY));
        assertThat(suspects.findHeldBack(List.of(DEADLY), OTHER)).isEmpty();
        crash(suspects, "s3", List.of(TEMPLATE, DEADLY));
        // then
        assertThat(suspects.findHeldBack(List.of(part("x"), DEADLY), OTHER)).contains(DEADLY);
        assertThat(suspects.findHeldBack(List.of(TEMPLATE), OTHER)).isEmpty();
        mClock.advance(CrashSuspects.LIFETIME);
        assertThat(suspects.findHeldBack(List.of(DEADLY), OTHER)).isEmpty();
    }

    @Test
    public void crashes_at_the_same_time_count_as_one() {
        CrashSuspects suspects = new CrashSuspects(mClock);
        // given twelve attempts that all began before the first crash
        long known = suspects.onAttemptStarted(List.of(TEMPLATE), TRIED);
        // when
        for (int i = 0; i < 12; i++) {
            suspects.onCrash(List.of(TEMPLATE), "s" + i, known);
        }
        // then
        assertThat(suspects.isQuarantined(TEMPLATE)).isFalse();
    }

    @Test
    public void content_beside_the_cause_is_released_by_a_trial_and_the_cause_is_not() {
        CrashSuspects suspects = new CrashSuspects(mClock);
        // given two contents that occur only together
        for (int i = 0; i < CrashSuspects.CHAIN_OF_UNANSWERED; i++) {
            crash(suspects, "s" + i, List.of(SUBJECT, DEADLY));
        }
        assertThat(suspects.findHeldBack(List.of(SUBJECT, DEADLY), OTHER)).isPresent();
        // when a request holds one of them, it is tried, but no second one beside it
        assertThat(suspects.findHeldBack(List.of(SUBJECT), OTHER)).isEmpty();
        suspects.onAttemptStarted(List.of(SUBJECT), TRIED);
        assertThat(suspects.findHeldBack(List.of(SUBJECT), OTHER)).contains(SUBJECT);
        suspects.onAnswered(List.of(SUBJECT));
        // then
        assertThat(suspects.findHeldBack(List.of(SUBJECT), OTHER)).isEmpty();
        assertThat(suspects.findHeldBack(List.of(DEADLY), OTHER)).contains(DEADLY);
    }

    @Test
    public void a_crash_in_a_trial_shows_the_cause() {
        CrashSuspects suspects = new CrashSuspects(mClock);
        // given
        for (int i = 0; i < CrashSuspects.CHAIN_OF_UNANSWERED; i++) {
            crash(suspects, "s" + i, List.of(SUBJECT, DEADLY));
        }
        // when
        crash(suspects, "s9", List.of(DEADLY, part("own")));
        // then
        assertThat(suspects.findHeldBack(List.of(DEADLY), OTHER)).contains(DEADLY);
        assertThat(suspects.findHeldBack(List.of(SUBJECT), OTHER)).isEmpty();
    }

    @Test
    public void records_have_the_same_effect_in_any_order() {
        // given the records of an entry that saw crashes and answers
        CrashSuspects source = new CrashSuspects(mClock);
        List<CrashRecord> records = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            records.addAll(crash(source, "s" + i, List.of(TEMPLATE, SUBJECT, DEADLY)));
            mClock.advance(Duration.ofMillis(5));
            records.addAll(source.onAnswered(List.of(i % 2 == 0 ? TEMPLATE : SUBJECT)));
        }
        for (long seed = 0; seed < 50; seed++) {
            // when another entry learns them in random order, one of them twice
            CrashSuspects other = new CrashSuspects(mClock);
            List<CrashRecord> shuffled = new ArrayList<>(records);
            shuffled.add(records.get((int) seed % records.size()));
            Collections.shuffle(shuffled, new Random(seed));
            shuffled.forEach(record -> other.merge(List.of(record)));
            // then
            for (ContentFingerprint content : List.of(TEMPLATE, SUBJECT, DEADLY)) {
                assertThat(other.isQuarantined(content))
                        .as("seed %d", seed)
                        .isEqualTo(source.isQuarantined(content));
            }
        }
    }

    @Test
    public void an_old_record_of_a_crash_is_corrected_by_an_entry_that_knows_an_answer() {
        CrashSuspects first = new CrashSuspects(mClock);
        CrashSuspects second = new CrashSuspects(mClock);
        List<CrashRecord> crashes = crash(first, "s1", List.of(TEMPLATE));
        // given
        second.merge(crashes);
        mClock.advance(Duration.ofMillis(50));
        second.onAnswered(List.of(TEMPLATE));
        // when
        SharedRecords.Merged<CrashRecord> merged = second.merge(first.records(10));
        first.merge(merged.corrections());
        // then
        assertThat(merged.changed()).isEmpty();
        assertThat(first.digest()).isEqualTo(second.digest());
        assertThat(first.isEmpty()).isTrue();
    }
}
