package org.bulrushvale.standin.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bulrushvale.standin.http.Json;

/**
 * The published revisions of the configuration values and the versions of the VM list.
 *
 * <p>Invariant: revision numbers and VM list versions increase by one per change; only the newest
 * {@link #MAX_ENTRIES} of each are kept. Thread safety: confined to the endpoint's thread.
 */
final class ConfigHistory {
    private static final int MAX_ENTRIES = 256;

    /**
     * One configuration value. Thread safety: immutable.
     *
     * @param revision revision that last changed the value
     * @param json content of the value
     */
    record Value(long revision, JsonNode json) {}

    /**
     * All values at one revision. Thread safety: immutable.
     *
     * @param revision revision number
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

    private record VmListVersion(long addedNanos, ObjectNode json) {}

    private final List<Snapshot> mSnapshots = new ArrayList<>();
    private final List<VmListVersion> mVmListVersions = new ArrayList<>();

    ConfigHistory(Map<String, JsonNode> values, JsonNode vmList, long nowNanos) {
        Map<String, Value> firstValues = new TreeMap<>();
        values.forEach((name, json) -> firstValues.put(name, new Value(1, json)));
        mSnapshots.add(new Snapshot(1, firstValues));
        addVmList(vmList, nowNanos);
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
        if (mSnapshots.size() > MAX_ENTRIES) {
            mSnapshots.remove(0);
        }
        return revision;
    }

    Snapshot newest() {
        return mSnapshots.get(mSnapshots.size() - 1);
    }

    /**
     * Returns the newest revision up to the given one, or the oldest kept one if all are newer; 0
     * stands for the newest.
     */
    Snapshot newestUpTo(long revision) {
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

    void addVmList(JsonNode vmList, long nowNanos) {
        JsonNode list = vmList.isArray() ? vmList : vmList.path("vms");
        if (!list.isArray()) {
            throw new IllegalArgumentException("the VM list must be an array");
        }
        long version = mVmListVersions.isEmpty() ? 1 : newestVmListVersion() + 1;
        ObjectNode json = Json.object().put("version", version);
        json.set("vms", list);
        mVmListVersions.add(new VmListVersion(nowNanos, json));
        if (mVmListVersions.size() > MAX_ENTRIES) {
            mVmListVersions.remove(0);
        }
    }

    private long newestVmListVersion() {
        return mVmListVersions.get(mVmListVersions.size() - 1).json().path("version").longValue();
    }

    /** Returns the VM list as it was {@code lagNanos} ago, or the oldest one kept. */
    JsonNode vmList(long nowNanos, long lagNanos) {
        VmListVersion found = mVmListVersions.get(0);
        for (VmListVersion list : mVmListVersions) {
            if (nowNanos - list.addedNanos() >= lagNanos) {
                found = list;
            }
        }
        return found.json();
    }
}
