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
 * <p>Invariant: the first entry must answer; every other one is either answered for or present with
 * an empty answer. Thread safety: not safe; used by the main thread.
 */
final class Fleet {
    private Fleet() {}

    /** Returns the answers to a GET by entry name. */
    static Map<String, Optional<JsonNode>> ask(EntryClient client, HostPort first, String path)
            throws CliException {
        Map<String, Optional<JsonNode>> answers = new LinkedHashMap<>();
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
        try {
            return Optional.of(client.get(HostPort.parse(operator), path));
        } catch (CliException e) {
            return Optional.empty();
        }
    }
}
