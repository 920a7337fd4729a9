package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start of the case. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... values) {
        long micros = (System.nanoTime() - startNanos) / 1_000;
        out.printf(Locale.ROOT, "%9.3f ", micros / 1e6);
        out.printf(Locale.ROOT, format + "%n", values);
        out.flush();
    }

    void answer(String kind, String id, Caller.Answer answer) {
        line(
                "answer  %s %s %d after %d ms %s",
                kind, id, answer.status(), answer.millis(), answer.detail());
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
