package org.bulrushvale.standin.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.standin.http.Json;

/**
 * Records the orders that a model runner has accepted, and counts those it refused.
 *
 * <p>Invariant: a model runner that honours fencing never accepts an order with a lower fencing
 * token than that of an order accepted before. Thread safety: confined to the endpoint's thread.
 */
final class OrderLog {
    private static final int MAX_ACCEPTED_KEPT = 256;

    private final ArrayNode mAccepted = (ArrayNode) Json.tree(new Object[0]);
    // Target of the last accepted order of each name.
    private final Map<String, String> mTargetByOrder = new HashMap<>();
    private long mHighestFence = Long.MIN_VALUE;
    private long mRefused;
    private long mStaleAccepted;

    /** Returns false when the order is refused because its fencing token is outdated. */
    boolean accept(JsonNode order, boolean honorFence) {
        if (!order.path("order").isTextual() || !order.path("fence").isIntegralNumber()) {
            throw new IllegalArgumentException("order (text) and fence (integer) are required");
        }
        long fence = order.path("fence").longValue();
        if (fence < mHighestFence) {
            if (honorFence) {
                mRefused++;
                return false;
            }
            mStaleAccepted++;
        }
        mHighestFence = Math.max(mHighestFence, fence);
        mTargetByOrder.put(order.path("order").textValue(), order.path("target").asText());
        mAccepted.add(order);
        if (mAccepted.size() > MAX_ACCEPTED_KEPT) {
            mAccepted.remove(0);
        }
        return true;
    }

    JsonNode toJson() {
        ObjectNode json =
                Json.object().put("refused", mRefused).put("stale_accepted", mStaleAccepted);
        json.set("in_force", Json.tree(mTargetByOrder));
        json.set("accepted", mAccepted.deepCopy());
        return json;
    }
}
