package org.bulrushvale.systemtests.harness;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * An entry daemon in a process of its own; a restart keeps its addresses.
 *
 * <p>Invariant: at most one process runs at a time. Thread safety: the process may be replaced by
 * one thread while others read reports.
 */
public final class EntryProcess implements AutoCloseable {
    private static final String MAIN = "org.bulrushvale.daemon.BulrushvaledMain";

    private final String mVm;
    private final Path mSettings;
    private final URI mCallerUri;
    private final URI mOperatorUri;
    private volatile JavaProcess mProcess;

    EntryProcess(String vm, Path settings, int callerPort, int operatorPort) throws IOException {
        mVm = vm;
        mSettings = settings;
        mCallerUri = URI.create("http://127.0.0.1:" + callerPort);
        mOperatorUri = URI.create("http://127.0.0.1:" + operatorPort);
        mProcess = launch();
    }

    private JavaProcess launch() throws IOException {
        return JavaProcess.start(mVm, MAIN, List.of("--settings", mSettings.toString()));
    }

    /** Returns the name of the VM. */
    public String vm() {
        return mVm;
    }

    /** Returns the base address for callers. */
    public URI callerUri() {
        return mCallerUri;
    }

    /** Returns the running process, for signals. */
    public JavaProcess process() {
        return mProcess;
    }

    /** Ends the old process if it still runs, and starts a new one. */
    public void restart() throws IOException {
        mProcess.close();
        mProcess = launch();
    }

    /** Returns true when the readiness probe of the entry succeeds, as a load balancer sees it. */
    public boolean isReady() {
        try {
            return JsonHttpClient.get(mCallerUri.resolve("/readyz")).statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Waits until the readiness probe succeeds and returns the time that passed. */
    public Duration awaitReady() throws Exception {
        return Await.until(mVm + " is ready", FleetProcesses.START_TIMEOUT, this::isReady);
    }

    /** Returns a report of the operator listener by its name, for example {@code status}. */
    public JsonNode report(String name) throws IOException, InterruptedException {
        return JsonHttpClient.fetchJson(mOperatorUri.resolve("/v1/" + name));
    }

    /** Orders a graceful shutdown through the operator listener. */
    public void drain() throws IOException, InterruptedException {
        JsonHttpClient.postJson(mOperatorUri.resolve("/v1/drain"), "{}");
    }

    /** Returns the configuration revision in force, -1 while the entry does not answer. */
    public long revision() throws InterruptedException {
        try {
            return report("status").path("revision").asLong(-1);
        } catch (IOException e) {
            return -1;
        }
    }

    @Override
    public void close() {
        mProcess.close();
    }
}
