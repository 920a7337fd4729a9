package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Asks every entry that one entry knows as its peers.
 *
 * <p>Invariant: a single entry must answer; every other one is either answered for or present with
 * an empty answer. Thread safety: not safe; used by the main thread.
 */
final class Fleet {
    private Fleet() {}

    /** Returns the answers to a GET by entry name; several entries are asked without peers. */
    static Map<String, Optional<JsonNode>> ask(
            EntryClient client, List<HostPort> entries, String path) throws CliException {
        HostPort first = entries.get(0);
        Map<String, Optional<JsonNode>> answers = new LinkedHashMap<>();
        if (entries.size() > 1) {
            entries.forEach(e -> answers.put(e.toString(), answer(client, e.toString(), path)));
            return answers;
        }
        answers.put(first.toString(), Optional.of(client.get(first, path)));
        List<JsonNode> peers = new ArrayList<>();
        client.get(first, "/v1/peers").path("peers").forEach(peers::add);
        for (JsonNode peer : peers) {
            String name = peer.path("name").asText(peer.path("address").asText("unnamed"));
            answers.put(name, askPeer(client, peer, first.port(), path));
        }
        return answers;
    }

    private static Optional<JsonNode> askPeer(
            EntryClient client, JsonNode peer, int port, String path) {
        // All entries of a fleet have the same settings but for their address.
        String operator = peer.path("operator").asText(peer.path("address").asText() + ":" + port);
        return answer(client, operator, path);
    }

    private static Optional<JsonNode> answer(EntryClient client, String operator, String path) {
        try {
            return Optional.of(client.get(HostPort.parse(operator), path));
        } catch (CliException e) {
            return Optional.empty();
        }
    }
}
