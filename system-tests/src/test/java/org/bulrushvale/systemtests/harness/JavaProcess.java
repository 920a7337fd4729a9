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
 * One Java process under test, with the signals that failure tests need.
 *
 * <p>Invariant: the process is ended by {@link #close()}. Thread safety: output is collected by a
 * reader thread under the object's lock; signals may be sent from any thread.
 */
public final class JavaProcess implements AutoCloseable {
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
    private static final int MAX_LINES = 20_000;

    private final String mName;
    private final Process mProcess;
    private final List<String> mLines = new ArrayList<>();
    private boolean mEnded;

    private JavaProcess(String name, Process process) {
        mName = name;
        mProcess = process;
        Thread reader = new Thread(this::collect, name + "-output");
        reader.setDaemon(true);
        reader.start();
    }

    /** Starts a main class of this build with a small heap. */
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

    /** Surefire hides the class path behind a manifest jar and names the real one in a property. */
    private static String classPath() {
        String surefire = System.getProperty("surefire.test.class.path");
        return surefire != null ? surefire : System.getProperty("java.class.path");
    }

    private void collect() {
        try (BufferedReader reader =
                new BufferedReader(
                        new InputStreamReader(mProcess.getInputStream(), StandardCharsets.UTF_8))) {
            String line = reader.readLine();
            while (line != null) {
                append(line);
                line = reader.readLine();
            }
        } catch (IOException ignored) {
            // The stream closes when the process is killed.
        }
        markEnded();
    }

    private synchronized void append(String line) {
        if (mLines.size() < MAX_LINES) {
            mLines.add(line);
        }
        notifyAll();
    }

    private synchronized void markEnded() {
        mEnded = true;
        notifyAll();
    }

    /** Waits for an output line that matches and returns its first group. */
    public synchronized String awaitLine(Pattern pattern) throws InterruptedException {
        long deadline = System.nanoTime() + START_TIMEOUT.toNanos();
        int next = 0;
        while (true) {
            for (; next < mLines.size(); next++) {
                Matcher matcher = pattern.matcher(mLines.get(next));
                if (matcher.find()) {
                    return matcher.group(1);
                }
            }
            long left = deadline - System.nanoTime();
            if (left <= 0 || mEnded) {
                throw new AssertionError(mName + " never printed " + pattern + ": " + mLines);
            }
            TimeUnit.NANOSECONDS.timedWait(this, left);
        }
    }

    /** Returns the collected output. */
    public synchronized String output() {
        return String.join("\n", mLines);
    }

    /** Stops the process as a host pause would (SIGSTOP). */
    public void pause() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Resumes a paused process (SIGCONT). */
    public void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    /** Asks the process to shut down gracefully (SIGTERM). */
    public void terminate() throws IOException, InterruptedException {
        signal("TERM");
    }

    /** Kills the process at once (SIGKILL). */
    public void kill() {
        mProcess.destroyForcibly();
    }

    /** Waits for the end of the process and returns its exit code. */
    public int awaitExit(Duration limit) throws InterruptedException {
        if (!mProcess.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
            throw new AssertionError(mName + " did not exit within " + limit);
        }
        return mProcess.exitValue();
    }

    private void signal(String signal) throws IOException, InterruptedException {
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
