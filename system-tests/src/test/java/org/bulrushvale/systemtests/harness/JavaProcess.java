package org.bulrushvale.systemtests.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A Java process under test that can be paused, resumed, terminated and killed.
 *
 * <p>Invariant: the process is ended by {@link #close()}. Thread safety: output is collected by a
 * reader thread under the object's lock; signals may be sent from any thread.
 */
public final class JavaProcess implements AutoCloseable {
    private static final Duration OUTPUT_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_OUTPUT_LINES = 20_000;

    private final String mName;
    private final Process mProcess;
    private final List<String> mOutputLines = new ArrayList<>();
    private boolean mEnded;

    private JavaProcess(String name, Process process) {
        mName = name;
        mProcess = process;
        Thread reader = new Thread(this::collectOutput, name + "-output");
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts a main class of this build in a new process with a heap of at most 96 MB. */
    public static JavaProcess start(String name, String mainClass, List<String> arguments)
            throws IOException {
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElse("java"));
        command.add("-Xmx96m");
        command.add("-XX:+UseSerialGC");
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-cp");
        command.add(classPath());
        command.add(mainClass);
        command.addAll(arguments);
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        return new JavaProcess(name, process);
    }

    /** Surefire replaces the class path by a manifest jar and sets the real one in a property. */
    private static String classPath() {
        String surefire = System.getProperty("surefire.test.class.path");
        return surefire != null ? surefire : System.getProperty("java.class.path");
    }

    private void collectOutput() {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(mProcess.getInputStream(), StandardCharsets.UTF_8))) {
            String line = reader.readLine();
            while (line != null) {
                appendLine(line);
                line = reader.readLine();
            }
        } catch (IOException ignored) {
            // The stream closes when the process is killed.
        }
        markEnded();
    }

    private synchronized void appendLine(String line) {
        if (mOutputLines.size() < MAX_OUTPUT_LINES) {
            mOutputLines.add(line);
        }
        notifyAll();
    }

    private synchronized void markEnded() {
        mEnded = true;
        notifyAll();
    }

    /** Waits for an output line that matches and returns its first group. */
    public synchronized String awaitLine(Pattern pattern) throws InterruptedException {
        long deadline = System.nanoTime() + OUTPUT_TIMEOUT.toNanos();
        int next = 0;
        while (true) {
            for (; next < mOutputLines.size(); next++) {
                Matcher matcher = pattern.matcher(mOutputLines.get(next));
                if (matcher.find()) {
                    return matcher.group(1);
                }
            }
            long leftNanos = deadline - System.nanoTime();
            if (leftNanos <= 0 || mEnded) {
                throw new AssertionError(mName + " never printed " + pattern + ": " + mOutputLines);
            }
            TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
        }
    }

    /** Returns the collected output. */
    public synchronized String output() {
        return String.join("\n", mOutputLines);
    }

    /** Pauses the process, as a pause of its host would (SIGSTOP). */
    public void pause() throws IOException, InterruptedException {
        sendSignal("STOP");
    }

    /** Resumes a paused process (SIGCONT). */
    public void resume() throws IOException, InterruptedException {
        sendSignal("CONT");
    }

    /** Asks the process to shut down gracefully (SIGTERM). */
    public void terminate() {
        // A direct call reaches the process sooner than a kill command that must be started first.
        mProcess.toHandle().destroy();
    }

    /** Tells the process that its settings have changed (SIGHUP). */
    public void hangUp() throws IOException, InterruptedException {
        sendSignal("HUP");
    }

    /** Kills the process at once (SIGKILL). */
    public void kill() {
        mProcess.destroyForcibly();
    }

    /** Returns true until the process has ended. */
    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Runs a task when the process has ended. */
    public void onExit(Runnable task) {
        mProcess.onExit().thenRun(task);
    }

    /** Waits until the process has ended and returns its exit code. */
    public int awaitExit(Duration limit) throws InterruptedException {
        if (!mProcess.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new AssertionError(mName + " did not exit within " + limit);
        }
        return mProcess.exitValue();
    }

    private void sendSignal(String signal) throws IOException, InterruptedException {
        Process kill =
                new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid())).start();
        if (kill.waitFor() != 0) {
            throw new IOException("cannot send " + signal + " to " + mName);
        }
    }

    @Override
    public void close() {
        mProcess.destroyForcibly();
        try {
            mProcess.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
