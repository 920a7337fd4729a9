package org.bulrushvale.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.forward.LeavingServer;
import org.bulrushvale.decision.forward.LeavingServers;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against entries that send to a leaving server because only the entry that it told knows,
 * and against records that circulate without end, on virtual time.
 */
public class LeavingNoticesFleetTest {
    private static final long TOLD_MILLIS = 3_000;

    // A leaving server may receive requests until 2 s after it said so.
    private static final long DRAIN_MILLIS = 2_000;
    private static final long LIFETIME_MILLIS = 300_000;
    private static final int LEAVING = 6;

    @DataProvider
    public Object[][] fleets() {
        // entries, seeds
        return new Object[][] {{8, 20}, {95, 5}, {333, 2}};
    }

    @Test(dataProvider = "fleets")
    public void every_entry_learns_of_a_leaving_server_in_time(int entries, int seeds) {
        for (long seed = 0; seed < seeds; seed++) {
            // given
            SplittableRandom random = new SplittableRandom(seed);
            VirtualNetwork network = new VirtualNetwork(random.split());
            List<LeavingServers> tables = new ArrayList<>();
            List<VirtualNetwork.Node<LeavingServer>> nodes = new ArrayList<>();
            int[] learned = new int[1];
            for (int i = 0; i < entries; i++) {
                LeavingServers table = new LeavingServers(network.clock());
                tables.add(table);
                nodes.add(
                        network.join(
                                new FleetNotices<>(
                                        table,
                                        PeerMessage.LeavingNotice::new,
                                        LeavingServers.MAX_RECORDS_PER_NOTICE,
                                        records -> learned[0] += records.size())));
            }
            // when single entries are told at about the same time
            for (int server = 0; server < LEAVING; server++) {
                int told = random.nextInt(entries);
                String process = "s" + server + "/7";
                network.at(
                        TOLD_MILLIS + server * 10L,
                        () -> nodes.get(told).notices().push(tables.get(told).record(process)));
            }
            int[] known = new int[1];
            network.at(
                    TOLD_MILLIS + DRAIN_MILLIS,
                    () -> known[0] = tables.stream().mapToInt(LeavingServers::count).sum());
            network.at(
                    TOLD_MILLIS + LIFETIME_MILLIS + 2_000,
                    () ->
                            assertThat(tables)
                                    .as("records that outlive their time")
                                    .allMatch(table -> table.count() == 0));
            network.play(TOLD_MILLIS + LIFETIME_MILLIS + 3_000);
            // then
            assertThat(known[0]).as("seed %d", seed).isEqualTo(entries * LEAVING);
            assertThat(learned[0]).as("seed %d", seed).isEqualTo((entries - 1) * LEAVING);
        }
    }
}
