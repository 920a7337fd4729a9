package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Sends a GET to an entry and all its peers, or to each of several given entries.
 *
 * <p>Invariant: a single given entry must answer, or the query fails. Every other entry is in the
 * result, with an empty answer if it gave none. Thread safety: not safe; used by the main thread.
 */
final class EntryQuery {
    private EntryQuery() {}

    /** Returns the answers by entry name. The peers are included only if one entry is given. */
    static Map<String, Optional<JsonNode>> queryAll(
            EntryClient client, List<HostPort> entries, String path) throws CliException {
        HostPort first = entries.get(0);
        Map<String, Optional<JsonNode>> answers = new LinkedHashMap<>();
        if (entries.size() > 1) {
            entries.forEach(
                    entry ->
                            answers.put(
                                    entry.toString(),
                                    queryIfReachable(client, entry.toString(), path)));
            return answers;
        }
        answers.put(first.toString(), Optional.of(client.get(first, path)));
        List<JsonNode> peers = new ArrayList<>();
        client.get(first, "/v1/peers").path("peers").forEach(peers::add);
        for (JsonNode peer : peers) {
            String name = peer.path("name").asText(peer.path("address").asText("unnamed"));
            answers.put(name, queryPeer(client, peer, first.port(), path));
        }
        return answers;
    }

    private static Optional<JsonNode> queryPeer(
            EntryClient client, JsonNode peer, int port, String path) {
        // A peer without a known operator address uses the same operator port as the first entry,
        // because all entries of a fleet have the same settings except for their address.
        String operatorAddress =
                peer.path("operator").asText(peer.path("address").asText() + ":" + port);
        return queryIfReachable(client, operatorAddress, path);
    }

    private static Optional<JsonNode> queryIfReachable(
            EntryClient client, String operatorAddress, String path) {
        try {
            return Optional.of(client.get(HostPort.parse(operatorAddress), path));
        } catch (CliException entry) {
            return Optional.empty();
        }
    }
}
