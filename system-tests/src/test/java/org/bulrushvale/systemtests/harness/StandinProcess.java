package org.bulrushvale.systemtests.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A stand-in for an external system, such as a backend server, in a process of its own.
 *
 * <p>Thread safety: safe for use by any thread.
 */
public final class StandinProcess implements AutoCloseable {
    private static final Pattern LISTENING = Pattern.compile("^LISTENING (\\d+)");
    private static final String MAIN = "org.bulrushvale.standin.StandinMain";

    private final String mName;
    private final JavaProcess mProcess;

    private StandinProcess(String name, JavaProcess process) {
        mName = name;
        mProcess = process;
    }

    static StandinProcess start(String name, List<String> arguments) throws IOException {
        return new StandinProcess(name, JavaProcess.start(name, MAIN, arguments));
    }

    /** Returns the name of the server. */
    public String name() {
        return mName;
    }

    /** Returns the port; waits until the process listens. */
    public int port() throws InterruptedException {
        return Integer.parseInt(mProcess.awaitLine(LISTENING));
    }

    /** Applies settings, such as faults to inject, and returns the response. */
    public JsonNode control(String json) throws IOException, InterruptedException {
        return JsonHttpClient.postJson(controlUri("/control"), json);
    }

    /** Crashes the server, which listens again after the given time and is then cold. */
    public void crash(Duration restart) throws Exception {
        long before = count("falls");
        try {
            control("{\"restart_ms\":" + restart.toMillis() + ",\"crash\":\"restart\"}");
        } catch (IOException expected) {
            // The crash also ends the connection of this call.
        }
        Await.until(
                mName + " crashed and listens again",
                FleetProcesses.START_TIMEOUT,
                () -> isListening() && count("falls") > before);
    }

    /** Returns one of the counts since the start. */
    public long count(String name) throws IOException, InterruptedException {
        return stats().path(name).asLong();
    }

    /** Returns the counts since the start. */
    public JsonNode stats() throws IOException, InterruptedException {
        return JsonHttpClient.fetchJson(controlUri("/control/stats"));
    }

    /** Waits until the server listens and returns the counts. */
    public JsonNode awaitStats() throws Exception {
        JsonNode[] stats = new JsonNode[1];
        Await.until(
                mName + " listens",
                FleetProcesses.START_TIMEOUT,
                () -> {
                    try {
                        stats[0] = stats();
                        return true;
                    } catch (IOException expected) {
                        // The server has crashed and does not listen again yet.
                        return false;
                    }
                });
        return stats[0];
    }

    /** Returns false while a crashed server has not restarted. */
    public boolean isListening() throws InterruptedException {
        try {
            return stats().isObject();
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the ledger of a plain service, which lists each of its runs. */
    public JsonNode ledger() throws IOException, InterruptedException {
        return JsonHttpClient.fetchJson(controlUri("/control/ledger"));
    }

    private URI controlUri(String path) throws InterruptedException {
        return URI.create("http://127.0.0.1:" + port() + path);
    }

    @Override
    public void close() {
        mProcess.close();
    }
}
