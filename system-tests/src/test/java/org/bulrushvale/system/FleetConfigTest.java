package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.bulrushvale.adapters.peer.LinkFault;
import org.bulrushvale.daemon.EntryDaemon;
import org.bulrushvale.standin.config.ConfigService;
import org.testng.annotations.Test;

/** Guards against a revision that is late, lost or taken back on one entry of a fleet. */
public class FleetConfigTest {
    private static final Duration IN_FORCE = Duration.ofSeconds(4);
    private static final Duration LIMIT = Duration.ofSeconds(15);
    private static final String OUT =
            "[{\"name\":\"a\",\"region\":\"r\",\"in_service\":true},"
                    + "{\"name\":\"b\",\"region\":\"r\",\"in_service\":false}]";

    @Test
    public void a_revision_reaches_an_entry_that_is_cut_off_from_the_service() throws Exception {
        try (EntryFleet fleet = new EntryFleet()) {
            // given
            ConfigService good = fleet.platform();
            ConfigService lost = fleet.platform();
            fleet.entry("vm-1", good, "");
            fleet.entry("vm-2", good, "");
            fleet.entry("vm-3", lost, "");
            fleet.listVms();
            fleet.awaitAcquainted();
            lost.control("{\"down\":\"RESET\"}");
            // when
            long revision = good.publish("domains", OUT);
            // then
            EntryFleet.await("in force", IN_FORCE, () -> fleet.revision("vm-3") == revision);
            assertThat(fleet.entry("vm-3").isReady()).isTrue();
        }
    }

    @Test
    public void entries_that_do_not_watch_the_service_learn_a_revision_from_peers()
            throws Exception {
        try (EntryFleet fleet = EntryFleet.start(5)) {
            // given three of five entries watch
            ConfigService service = fleet.platform(0);
            EntryFleet.await(
                    "three watch", LIMIT, () -> service.stats().path("waiting").asInt() == 3);
            // when
            long revision = service.publish("domains", OUT);
            // then
            for (int i = 1; i <= 5; i++) {
                String vm = "vm-" + i;
                EntryFleet.await("in force", IN_FORCE, () -> fleet.revision(vm) == revision);
            }
        }
    }

    @Test
    public void a_stale_service_never_takes_a_revision_back() throws Exception {
        try (EntryFleet fleet = new EntryFleet()) {
            // given an entry whose service stays at the first revision
            ConfigService good = fleet.platform();
            ConfigService stale = fleet.platform();
            fleet.entry("vm-1", good, "");
            fleet.entry("vm-2", stale, "");
            fleet.listVms();
            fleet.awaitAcquainted();
            // when
            long revision = good.publish("domains", OUT);
            EntryFleet.await("in force", IN_FORCE, () -> fleet.revision("vm-2") == revision);
            long before = calls(stale);
            // then it keeps the revision over several answers of the stale service
            EntryFleet.await(
                    "service asked again",
                    LIMIT,
                    () -> {
                        assertThat(fleet.revision("vm-2")).isEqualTo(revision);
                        return calls(stale) >= before + 3;
                    });
            assertThat(fleet.entry("vm-2").isReady()).isTrue();
        }
    }

    @Test
    public void a_fresh_entry_becomes_ready_from_a_peer_while_the_service_is_down()
            throws Exception {
        try (EntryFleet fleet = EntryFleet.start(1)) {
            // given
            long revision = fleet.platform(0).publish("domains", OUT);
            EntryFleet.await("in force", IN_FORCE, () -> fleet.revision("vm-1") == revision);
            fleet.platform(0).control("{\"down\":\"ERROR\"}");
            // when
            int port = fleet.entry("vm-1").port("peer").orElseThrow();
            EntryDaemon fresh = fleet.entry("vm-2", fleet.platform(0), "127.0.0.1:" + port);
            // then
            EntryFleet.await("ready", LIMIT, fresh::isReady);
            assertThat(fleet.revision("vm-2")).isEqualTo(revision);
        }
    }

    @Test
    public void an_isolated_entry_is_not_ready_and_refuses_until_it_is_back() throws Exception {
        try (EntryFleet fleet = new EntryFleet()) {
            // given
            ConfigService good = fleet.platform();
            ConfigService lost = fleet.platform();
            fleet.entry("vm-1", good, "");
            fleet.entry("vm-2", good, "");
            EntryDaemon cut = fleet.entry("vm-3", lost, "");
            fleet.listVms();
            fleet.awaitAcquainted();
            // when
            lost.control("{\"down\":\"RESET\"}");
            link(cut, LinkFault.CLOSED);
            // then
            EntryFleet.await("not ready", LIMIT, () -> !cut.isReady());
            JsonNode refusal = fleet.letter("vm-3");
            assertThat(refusal.path("code").asText()).isEqualTo("ISOLATED");
            assertThat(refusal.path("verdict").asText()).isEqualTo("NOT_RUN");
            assertThat(fleet.report("vm-3", "status").path("isolated").asBoolean()).isTrue();
            assertThat(fleet.entry("vm-1").isReady()).isTrue();
            // when the links are back, then it serves although the service is still down
            link(cut, LinkFault.NONE);
            EntryFleet.await("ready again", LIMIT, cut::isReady);
        }
    }

    private static void link(EntryDaemon daemon, LinkFault cut) {
        daemon.fleet().peerTransport().injectFault("vm-1", cut);
        daemon.fleet().peerTransport().injectFault("vm-2", cut);
    }

    private static long calls(ConfigService service) {
        JsonNode calls = service.stats().path("calls");
        return calls.path("index").asLong() + calls.path("watch").asLong();
    }
}
