package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against servers that are used because a copy of the store shows them as they were, and
 * against servers that are not used although they registered after that.
 */
public class RegistrationsBeforeRestoreTest {
    private final RegistrationsBeforeRestore mRegistrations = new RegistrationsBeforeRestore();

    @DataProvider
    public Object[][] registrations() {
        // known: start, sequence, leaving, removed; read: start, sequence, leaving; withheld
        return new Object[][] {
            {server(5, 3, true), false, server(5, 2, false), true},
            {server(5, 3, true), false, server(5, 3, false), true},
            {server(5, 3, true), false, server(5, 3, true), false},
            {server(5, 3, true), false, server(5, 4, false), false},
            {server(5, 3, true), false, server(6, 1, false), false},
            {server(5, 3, false), false, server(4, 9, false), true},
            {server(5, 3, false), false, server(5, 3, false), false},
            {server(5, 3, false), true, server(5, 3, false), true},
            {server(5, 3, false), true, server(5, 4, false), false},
            {server(5, 3, false), true, server(6, 1, false), false},
            {server(0, 3, false), true, server(0, 2, false), true},
        };
    }

    @Test(dataProvider = "registrations")
    public void only_registrations_that_are_not_newer_are_withheld(
            PublishedBackend known, boolean removed, PublishedBackend read, boolean withheld) {
        // given
        if (removed) {
            mRegistrations.recordRemoved(known);
        }
        mRegistrations.recordRestore(removed ? List.of() : List.of(known));
        // when, then
        assertThat(mRegistrations.withhold(read)).isEqualTo(withheld);
        assertThat(mRegistrations.end()).isEqualTo(withheld ? List.of(read) : List.of());
        assertThat(mRegistrations.withhold(read)).isFalse();
    }

    @Test
    public void a_withheld_server_that_is_removed_again_is_not_used_later() {
        // given
        mRegistrations.recordRemoved(server(5, 3, false));
        mRegistrations.recordRestore(List.of());
        mRegistrations.withhold(server(5, 3, false));
        // when
        mRegistrations.recordGone("s");
        // then
        assertThat(mRegistrations.end()).isEmpty();
    }

    @Test
    public void what_was_removed_before_two_restores_is_remembered_after_the_second() {
        // given
        mRegistrations.recordRemoved(server(5, 3, false));
        // when
        mRegistrations.recordRestore(List.of());
        mRegistrations.recordRestore(List.of());
        // then
        assertThat(mRegistrations.withhold(server(5, 3, false))).isTrue();
    }

    private static PublishedBackend server(long started, long sequence, boolean leaving) {
        return new PublishedBackend(
                "s", "pool", "h", 80, "v1", "a", 8, leaving, started, sequence, Duration.ZERO);
    }
}
