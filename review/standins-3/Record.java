import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time since its begin in ms. */
final class Record implements AutoCloseable {
    private final long begin = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) {
        try {
            out = new PrintWriter(Files.newBufferedWriter(file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long millis() {
        return (System.nanoTime() - begin) / 1_000_000;
    }

    synchronized void line(String text) {
        out.println(millis() + " " + text);
        out.flush();
    }

    @Override
    public void close() {
        out.close();
    }
}
