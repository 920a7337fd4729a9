package org.bulrushvale.decision.keys;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import org.bulrushvale.kernel.time.ManualClock;
import org.bulrushvale.kernel.verdict.BulrushvaleException;
import org.bulrushvale.kernel.verdict.ErrorCode;
import org.bulrushvale.kernel.verdict.Verdict;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against the acceptance of a key that the fleet never issued for the request. */
public class IdempotencyKeyTest {
    private static final KeySecret SECRET = KeySecret.of(new byte[32]);
    private static final String KEY = key();

    private static String key() {
        ManualClock clock = ManualClock.startingAt(Instant.EPOCH);
        KeySpaces spaces = KeySpaces.create(0xabcL, SECRET, clock, KeyMemoryBudget.limitedTo(9, 9));
        clock.advance(Duration.ofMillis(1_234));
        spaces.issuer().issue("granite", "seat-booking");
        return spaces.issuer().issue("granite", "seat-booking").toString();
    }

    @Test
    public void issued_key_is_parsed_with_all_its_parts() throws BulrushvaleException {
        IdempotencyKey key = IdempotencyKey.parse(KEY, SECRET, "granite", "seat-booking");
        assertThat(KEY).startsWith("v1.0000000000000abc.1.1234.").hasSizeLessThan(160);
        assertThat(key.incarnation()).isEqualTo(0xabc);
        assertThat(key.sequence()).isEqualTo(1);
        assertThat(key.issuedMillis()).isEqualTo(1_234);
        assertThat(key).hasToString(KEY);
    }

    @DataProvider
    public Object[][] rejected() {
        return new Object[][] {
            {"", "granite", "seat-booking"},
            {"x".repeat(100_000), "granite", "seat-booking"},
            {KEY + "A", "granite", "seat-booking"},
            {KEY.replace(".1.1234.", ".01.1234."), "granite", "seat-booking"},
            {KEY.replace(".1.1234.", ".99999999999999999999.1234."), "granite", "seat-booking"},
            {KEY, "ghiacciolago", "seat-booking"},
            {KEY, "granite", "venue-roster"},
        };
    }

    @Test(dataProvider = "rejected")
    public void malformed_key_or_key_of_another_workspace_or_class_is_invalid_and_not_run(
            String text, String workspace, String workClass) {
        assertInvalid(text, workspace, workClass);
    }

    @Test
    public void key_with_any_character_changed_is_invalid() {
        // The last of the 43 characters of the HMAC has only four significant bits, so only a
        // comparison of the text rejects other encodings of the same HMAC.
        for (int i = 0; i < KEY.length(); i++) {
            char other = KEY.charAt(i) == 'b' ? 'c' : 'b';
            assertInvalid(
                    KEY.substring(0, i) + other + KEY.substring(i + 1), "granite", "seat-booking");
        }
    }

    private static void assertInvalid(String text, String workspace, String workClass) {
        assertThatThrownBy(() -> IdempotencyKey.parse(text, SECRET, workspace, workClass))
                .isInstanceOfSatisfying(
                        BulrushvaleException.class,
                        e -> {
                            assertThat(e.code()).isEqualTo(ErrorCode.KEY_INVALID);
                            assertThat(e.verdict()).isEqualTo(Verdict.NOT_RUN);
                        });
    }
}
