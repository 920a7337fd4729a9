package org.bulrushvale.daemon;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.config.Stage;

/**
 * Chooses the server with the fewest own attempts in progress, up to its published slots.
 *
 * <p>Invariant: a server that is out of service or full is never chosen. Thread safety: owned by
 * the event loop.
 */
final class LeastOutstandingPicker implements ServerPicker {
    private final ConfigStore mConfig;
    private final Map<String, Integer> mOutstanding = new HashMap<>();

    LeastOutstandingPicker(ConfigStore config) {
        mConfig = config;
    }

    @Override
    public Optional<BackendServer> pick(Stage stage, Set<String> avoid, String prefix) {
        List<BackendServer> eligible = withRoom(stage.pool());
        Optional<BackendServer> chosen =
                eligible.stream()
                        .min(
                                Comparator.comparing((BackendServer s) -> avoid.contains(s.name()))
                                        .thenComparing(this::outstanding)
                                        .thenComparing(BackendServer::name));
        chosen.ifPresent(server -> mOutstanding.merge(server.name(), 1, Integer::sum));
        return chosen;
    }

    @Override
    public boolean hasRoom(String pool) {
        return !withRoom(pool).isEmpty();
    }

    @Override
    public int slots(String pool) {
        return inService(pool).stream().mapToInt(BackendServer::slots).sum();
    }

    private List<BackendServer> withRoom(String pool) {
        return inService(pool).stream().filter(s -> outstanding(s) < s.slots()).toList();
    }

    private List<BackendServer> inService(String pool) {
        return mConfig.config()
                .map(config -> config.pool(pool).stream().filter(config::isInService).toList())
                .orElse(List.of());
    }

    @Override
    public void finished(BackendServer server, boolean ran) {
        mOutstanding.computeIfPresent(server.name(), (name, n) -> n > 1 ? n - 1 : null);
    }

    private int outstanding(BackendServer server) {
        return mOutstanding.getOrDefault(server.name(), 0);
    }
}
