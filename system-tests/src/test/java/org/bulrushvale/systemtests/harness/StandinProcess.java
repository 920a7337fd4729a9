package org.bulrushvale.systemtests.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.regex.Pattern;

/**
 * One stand-in of an external system in a process of its own.
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

    /** Applies settings. */
    public JsonNode control(String json) throws IOException, InterruptedException {
        return Http.post(uri("/control"), json);
    }

    /** Makes the server fall over; it listens again after the given time, cold. */
    public void crash(Duration restart) throws Exception {
        long before = count("falls");
        try {
            control("{\"restart_ms\":" + restart.toMillis() + ",\"crash\":\"restart\"}");
        } catch (IOException expected) {
            // The connection of the order falls with the server.
        }
        Await.until(
                mName + " fell and listens again",
                FleetProcesses.START_LIMIT,
                () -> isListening() && count("falls") > before);
    }

    /** Returns one of the counts since the start. */
    public long count(String name) throws IOException, InterruptedException {
        return stats().path(name).asLong();
    }

    /** Returns the counts since the start. */
    public JsonNode stats() throws IOException, InterruptedException {
        return Http.json(uri("/control/stats"));
    }

    /** Returns the counts as soon as the server listens. */
    public JsonNode awaitStats() throws Exception {
        JsonNode[] stats = new JsonNode[1];
        Await.until(
                mName + " listens",
                FleetProcesses.START_LIMIT,
                () -> {
                    try {
                        stats[0] = stats();
                        return true;
                    } catch (IOException expected) {
                        // The server has fallen and does not listen yet.
                        return false;
                    }
                });
        return stats[0];
    }

    /** Returns false while a server that fell has not started again. */
    public boolean isListening() throws InterruptedException {
        try {
            return stats().isObject();
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns every run of a plain service. */
    public JsonNode ledger() throws IOException, InterruptedException {
        return Http.json(uri("/control/ledger"));
    }

    private URI uri(String path) throws InterruptedException {
        return URI.create("http://127.0.0.1:" + port() + path);
    }

    @Override
    public void close() {
        mProcess.close();
    }
}
