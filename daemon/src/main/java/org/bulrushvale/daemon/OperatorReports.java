package org.bulrushvale.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bulrushvale.adapters.operator.OperatorRequestHandler;
import org.bulrushvale.daemon.fleet.FleetNode;
import org.bulrushvale.decision.attainment.AttainmentSnapshot;
import org.bulrushvale.decision.config.BackendServer;
import org.bulrushvale.decision.config.ConfigStore;
import org.bulrushvale.decision.config.PublishedConfig;
import org.bulrushvale.decision.config.WorkClass;

/**
 * Builds the reports of the operator listener.
 *
 * <p>Invariant: no report contains a secret, a token digest or a request body. Thread safety:
 * called on the event loop.
 */
final class OperatorReports {
    private static final ObjectMapper JSON = new ObjectMapper();

    private OperatorReports() {}

    static JsonNode of(
            OperatorRequestHandler.Report report,
            ConfigStore store,
            int active,
            EntryCore core,
            FleetNode fleet) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("revision", store.revision());
        switch (report) {
            case STATUS -> {
                String reason = core.notReadyReason();
                json.put("ready", reason.isEmpty());
                json.put("reason", reason);
                json.put("active_requests", active);
                fleet.status(json);
            }
            case CONFIG -> config(json, store);
            case CLASSES ->
                    store.config().ifPresent(config -> classes(json.putArray("classes"), config));
            case BACKENDS ->
                    store.config().ifPresent(config -> backends(json.putArray("backends"), config));
            case PEERS -> fleet.peers(json.putArray("peers"));
            default -> throw new AssertionError(report);
        }
        return json;
    }

    static JsonNode burn(AttainmentSnapshot snapshot) {
        try {
            return JSON.readTree(snapshot.toJson());
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("the attainment snapshot is not valid JSON", e);
        }
    }

    private static void config(ObjectNode json, ConfigStore store) {
        json.put("digest", store.digest());
        store.confirmationAge().ifPresent(age -> json.put("confirmation_age_ms", age.toMillis()));
        json.put("older_offers", store.olderOfferCount());
        ArrayNode refusals = json.putArray("refusals");
        for (ConfigStore.RefusedOffer refusal : store.refusals()) {
            ObjectNode item = refusals.addObject();
            item.put("revision", refusal.revision());
            item.put("reason", refusal.reason().name());
            ArrayNode faults = item.putArray("faults");
            refusal.faults().forEach(fault -> faults.add(fault.toString()));
        }
    }

    private static void classes(ArrayNode list, PublishedConfig config) {
        for (WorkClass workClass : config.classes()) {
            ObjectNode item = list.addObject();
            item.put("name", workClass.name());
            item.put("target", workClass.target());
            item.put("deadline_ms", workClass.deadline().toMillis());
            item.put("worth", workClass.worth());
            item.put("pipeline", workClass.pipeline());
            item.put("idempotent", workClass.idempotent());
        }
    }

    private static void backends(ArrayNode list, PublishedConfig config) {
        for (BackendServer server : config.backends()) {
            ObjectNode item = list.addObject();
            item.put("name", server.name());
            item.put("pool", server.pool());
            item.put("failure_domain", server.failureDomain());
            item.put("slots", server.slots());
            item.put("in_service", config.isInService(server));
        }
    }
}
