package org.bulrushvale.standin.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import org.bulrushvale.standin.http.Json;

/**
 * The orders that an engine has accepted.
 *
 * <p>Invariant: an engine that honours fencing never accepts an order with a lower number than one
 * accepted before. Thread safety: confined to the endpoint's thread.
 */
final class OrderBook {
    private static final int KEPT = 256;

    private final ArrayNode mAccepted = (ArrayNode) Json.tree(new Object[0]);
    private final Map<String, String> mInForce = new HashMap<>();
    private long mHighest = Long.MIN_VALUE;
    private long mRefused;
    private long mStaleAccepted;

    /** Returns false when the order is refused for its fencing number. */
    boolean accept(JsonNode order, boolean honorFence) {
        if (!order.path("order").isTextual() || !order.path("fence").isIntegralNumber()) {
            throw new IllegalArgumentException("order and fence are required");
        }
        long fence = order.path("fence").longValue();
        if (fence < mHighest) {
            if (honorFence) {
                mRefused++;
                return false;
            }
            mStaleAccepted++;
        }
        mHighest = Math.max(mHighest, fence);
        mInForce.put(order.path("order").textValue(), order.path("target").asText());
        mAccepted.add(order);
        if (mAccepted.size() > KEPT) {
            mAccepted.remove(0);
        }
        return true;
    }

    JsonNode toJson() {
        ObjectNode json =
                Json.object().put("refused", mRefused).put("stale_accepted", mStaleAccepted);
        json.set("in_force", Json.tree(mInForce));
        json.set("accepted", mAccepted.deepCopy());
        return json;
    }
}
