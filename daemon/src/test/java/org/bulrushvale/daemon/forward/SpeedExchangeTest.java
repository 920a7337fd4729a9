package org.bulrushvale.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.ServerSpeed;
import org.bulrushvale.kernel.time.ManualClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against speeds of servers that reach the other entries of the failure domain too late, or
 * entries of other domains, on virtual time.
 */
public class SpeedExchangeTest {
    private static final int DOMAINS = 4;
    private static final double MESSAGE_LOSS = 0.05;

    // Two rounds a second, for the time that a speed counts.
    private static final int ROUNDS = 20;

    private final ManualClock mClock = ManualClock.startingAt(Instant.EPOCH);

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{8}, {95}, {333}};
    }

    @Test(dataProvider = "fleets")
    public void a_slow_server_becomes_known_in_the_domain_while_it_is_observed(int entries) {
        // given
        SplittableRandom random = new SplittableRandom(entries);
        Map<String, ServerSpeed> speeds = new HashMap<>();
        Map<String, MemberTable> members = new LinkedHashMap<>();
        Map<String, SpeedExchange> exchanges = new HashMap<>();
        for (int i = 0; i < entries; i++) {
            String name = "e" + i;
            speeds.put(name, new ServerSpeed(mClock));
            members.put(
                    name, new MemberTable(mClock, random.split(), name, domain(name), Set.of()));
            exchanges.put(
                    name,
                    new SpeedExchange(
                            speeds.get(name),
                            members.get(name),
                            random.split(),
                            (peer, message) -> {
                                if (random.nextDouble() >= MESSAGE_LOSS) {
                                    exchanges.get(peer).receive((PeerMessage.SpeedNotice) message);
                                }
                            }));
        }
        // when only one entry sends requests to the server
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < 8; i++) {
                observe(speeds.get("e0"), "usual/1", 100);
                observe(speeds.get("e0"), "slow/1", i % 8 == 0 ? 250 : 100);
                observe(speeds.get("e0"), "slow/1", 250);
            }
            members.forEach(
                    (name, table) -> {
                        for (String other : members.keySet()) {
                            table.recordHeard(other, domain(other), false, Duration.ZERO);
                        }
                    });
            members.keySet().forEach(name -> exchanges.get(name).share());
            mClock.advance(Duration.ofMillis(500));
        }
        // then
        List<String> knowing =
                members.keySet().stream()
                        .filter(name -> !speeds.get(name).records(1).isEmpty())
                        .toList();
        List<String> inDomain =
                members.keySet().stream()
                        .filter(name -> domain(name).equals(domain("e0")))
                        .toList();
        assertThat(inDomain).containsAll(knowing);
        // A lost message is made up for only after further rounds, so a few may not know yet.
        assertThat(knowing.size()).isGreaterThanOrEqualTo((int) (0.9 * inDomain.size()));
    }

    private static String domain(String name) {
        return "d" + Integer.parseInt(name.substring(1)) % DOMAINS;
    }

    private static void observe(ServerSpeed speed, String process, int millis) {
        long nanos = Duration.ofMillis(millis).toNanos();
        speed.recordFirstEvent("pool", process, 0, true, nanos);
    }
}
