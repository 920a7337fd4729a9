package org.bulrushvale.standin.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bulrushvale.standin.http.Json;

/**
 * The published revisions and the versions of the VM list.
 *
 * <p>Invariant: revisions and versions increase by one per change; the newest is always kept.
 * Thread safety: confined to the endpoint's thread.
 */
final class ConfigHistory {
    private static final int KEPT = 256;

    /**
     * One value. Thread safety: immutable.
     *
     * @param revision revision that last changed it
     * @param json its content
     */
    record Value(long revision, JsonNode json) {}

    /**
     * One revision. Thread safety: immutable.
     *
     * @param revision its number
     * @param values values by name
     */
    record Snapshot(long revision, Map<String, Value> values) {
        ObjectNode index() {
            ObjectNode answer = Json.object().put("revision", revision);
            ObjectNode names = answer.putObject("values");
            values.forEach((name, value) -> names.put(name, value.revision()));
            return answer;
        }
    }

    private record VmList(long nanos, ObjectNode json) {}

    private final List<Snapshot> mSnapshots = new ArrayList<>();
    private final List<VmList> mVmLists = new ArrayList<>();

    ConfigHistory(Map<String, JsonNode> values, JsonNode vms, long nowNanos) {
        Map<String, Value> first = new TreeMap<>();
        values.forEach((name, json) -> first.put(name, new Value(1, json)));
        mSnapshots.add(new Snapshot(1, first));
        addVms(vms, nowNanos);
    }

    long publish(Map<String, JsonNode> changes) {
        Snapshot last = newest();
        long revision = last.revision() + 1;
        Map<String, Value> values = new TreeMap<>(last.values());
        changes.forEach(
                (name, json) -> {
                    if (json.isNull()) {
                        values.remove(name);
                    } else {
                        values.put(name, new Value(revision, json));
                    }
                });
        mSnapshots.add(new Snapshot(revision, values));
        if (mSnapshots.size() > KEPT) {
            mSnapshots.remove(0);
        }
        return revision;
    }

    Snapshot newest() {
        return mSnapshots.get(mSnapshots.size() - 1);
    }

    /** Returns the newest revision that is not above the given one; 0 stands for the newest. */
    Snapshot at(long revision) {
        if (revision == 0) {
            return newest();
        }
        Snapshot found = mSnapshots.get(0);
        for (Snapshot snapshot : mSnapshots) {
            if (snapshot.revision() <= revision) {
                found = snapshot;
            }
        }
        return found;
    }

    void addVms(JsonNode vms, long nowNanos) {
        JsonNode list = vms.isArray() ? vms : vms.path("vms");
        if (!list.isArray()) {
            throw new IllegalArgumentException("the VM list is an array");
        }
        long version = mVmLists.isEmpty() ? 1 : vmVersion() + 1;
        ObjectNode json = Json.object().put("version", version);
        json.set("vms", list);
        mVmLists.add(new VmList(nowNanos, json));
        if (mVmLists.size() > KEPT) {
            mVmLists.remove(0);
        }
    }

    private long vmVersion() {
        return mVmLists.get(mVmLists.size() - 1).json().path("version").longValue();
    }

    /** Returns the VM list as it was {@code lagNanos} ago, or the oldest known. */
    JsonNode vms(long nowNanos, long lagNanos) {
        VmList found = mVmLists.get(0);
        for (VmList list : mVmLists) {
            if (nowNanos - list.nanos() >= lagNanos) {
                found = list;
            }
        }
        return found.json();
    }
}
