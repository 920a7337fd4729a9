package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import org.bulrushvale.adapters.peer.LinkFault;
import org.bulrushvale.daemon.EntryDaemon;
import org.bulrushvale.standin.config.ConfigService;
import org.testng.annotations.Test;

/** Guards against a configuration revision that is late, missing or reverted at one entry. */
public class FleetConfigTest {
    private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(4);
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final String DOMAIN_B_OUT_OF_SERVICE =
            "[{\"name\":\"a\",\"region\":\"r\",\"in_service\":true},"
                    + "{\"name\":\"b\",\"region\":\"r\",\"in_service\":false}]";

    @Test
    public void a_revision_reaches_an_entry_that_cannot_reach_the_service() throws Exception {
        try (EntryFleet fleet = new EntryFleet()) {
            // given
            ConfigService healthyService = fleet.startConfigService();
            ConfigService unreachableService = fleet.startConfigService();
            fleet.startEntry("vm-1", healthyService, "");
            fleet.startEntry("vm-2", healthyService, "");
            fleet.startEntry("vm-3", unreachableService, "");
            fleet.publishVmList();
            fleet.awaitAllPeersKnown();
            unreachableService.control("{\"down\":\"RESET\"}");
            // when
            long revision = healthyService.publish("domains", DOMAIN_B_OUT_OF_SERVICE);
            // then
            EntryFleet.await("in force", IN_FORCE_LIMIT, () -> fleet.revision("vm-3") == revision);
            assertThat(fleet.entry("vm-3").isReady()).isTrue();
        }
    }

    @Test
    public void entries_that_do_not_watch_the_service_learn_a_revision_from_peers()
            throws Exception {
        try (EntryFleet fleet = EntryFleet.start(5)) {
            // given three of five entries watch the service
            ConfigService service = fleet.configService(0);
            EntryFleet.await(
                    "three watch", TIMEOUT, () -> service.stats().path("waiting").asInt() == 3);
            // when
            long revision = service.publish("domains", DOMAIN_B_OUT_OF_SERVICE);
            // then
            for (int i = 1; i <= 5; i++) {
                String vm = "vm-" + i;
                EntryFleet.await("in force", IN_FORCE_LIMIT, () -> fleet.revision(vm) == revision);
            }
        }
    }

    @Test
    public void a_stale_service_never_reverts_a_revision() throws Exception {
        try (EntryFleet fleet = new EntryFleet()) {
            // given an entry whose configuration service stays at the first revision
            ConfigService healthyService = fleet.startConfigService();
            ConfigService staleService = fleet.startConfigService();
            fleet.startEntry("vm-1", healthyService, "");
            fleet.startEntry("vm-2", staleService, "");
            fleet.publishVmList();
            fleet.awaitAllPeersKnown();
            // when
            long revision = healthyService.publish("domains", DOMAIN_B_OUT_OF_SERVICE);
            EntryFleet.await("in force", IN_FORCE_LIMIT, () -> fleet.revision("vm-2") == revision);
            long before = callCount(staleService);
            // then the entry keeps the revision after several responses of the stale service
            EntryFleet.await(
                    "the service is asked again",
                    TIMEOUT,
                    () -> {
                        assertThat(fleet.revision("vm-2")).isEqualTo(revision);
                        return callCount(staleService) >= before + 3;
                    });
            assertThat(fleet.entry("vm-2").isReady()).isTrue();
        }
    }

    @Test
    public void a_fresh_entry_becomes_ready_from_a_peer_while_the_service_is_down()
            throws Exception {
        try (EntryFleet fleet = EntryFleet.start(1)) {
            // given
            long revision = fleet.configService(0).publish("domains", DOMAIN_B_OUT_OF_SERVICE);
            EntryFleet.await("in force", IN_FORCE_LIMIT, () -> fleet.revision("vm-1") == revision);
            fleet.configService(0).control("{\"down\":\"ERROR\"}");
            // when
            int port = fleet.entry("vm-1").port("peer").orElseThrow();
            EntryDaemon fresh =
                    fleet.startEntry("vm-2", fleet.configService(0), "127.0.0.1:" + port);
            // then
            EntryFleet.await("ready", TIMEOUT, fresh::isReady);
            assertThat(fleet.revision("vm-2")).isEqualTo(revision);
        }
    }

    @Test
    public void an_isolated_entry_refuses_requests_until_its_links_are_back() throws Exception {
        try (EntryFleet fleet = new EntryFleet()) {
            // given
            ConfigService healthyService = fleet.startConfigService();
            ConfigService unreachableService = fleet.startConfigService();
            fleet.startEntry("vm-1", healthyService, "");
            fleet.startEntry("vm-2", healthyService, "");
            EntryDaemon isolatedEntry = fleet.startEntry("vm-3", unreachableService, "");
            fleet.publishVmList();
            fleet.awaitAllPeersKnown();
            // when
            unreachableService.control("{\"down\":\"RESET\"}");
            injectLinkFault(isolatedEntry, LinkFault.CLOSED);
            // then
            EntryFleet.await("not ready", TIMEOUT, () -> !isolatedEntry.isReady());
            JsonNode refusal = fleet.sendLetter("vm-3");
            assertThat(refusal.path("code").asText()).isEqualTo("ISOLATED");
            assertThat(refusal.path("verdict").asText()).isEqualTo("NOT_RUN");
            assertThat(fleet.report("vm-3", "status").path("isolated").asBoolean()).isTrue();
            assertThat(fleet.entry("vm-1").isReady()).isTrue();
            // when the links are back, then the entry is ready although the service is still down
            injectLinkFault(isolatedEntry, LinkFault.NONE);
            EntryFleet.await("ready again", TIMEOUT, isolatedEntry::isReady);
        }
    }

    private static void injectLinkFault(EntryDaemon daemon, LinkFault fault) {
        daemon.fleet().peerTransport().injectFault("vm-1", fault);
        daemon.fleet().peerTransport().injectFault("vm-2", fault);
    }

    private static long callCount(ConfigService service) {
        JsonNode calls = service.stats().path("calls");
        return calls.path("index").asLong() + calls.path("watch").asLong();
    }
}
