import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What all cases share: the folder, the record, and the end of all that was started. */
abstract class Case {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path temporary;
    final Record record;
    private final List<AutoCloseable> started = new ArrayList<>();

    Case(Path folder) throws Exception {
        temporary = Files.createTempDirectory("bulrushvale-review-3");
        record = new Record(folder.resolve("record.txt"));
        // For a run that is ended from outside; a run that ends by itself does this in exit().
        Thread end = new Thread(() -> started.forEach(Threads::closeQuietly));
        Runtime.getRuntime().addShutdownHook(end);
        record.line("trouble " + trouble + ", machine " + System.getProperty("os.arch"));
    }

    <T extends AutoCloseable> T keep(T closeable) {
        started.add(closeable);
        return closeable;
    }

    /** Runs the case; returns its exit code. */
    abstract int run() throws Exception;

    static void exit(Case test) {
        int code = NOT_RUN;
        try {
            code = test.run();
        } catch (Exception e) {
            test.record.line("not run: " + e);
            e.printStackTrace();
        } finally {
            test.started.forEach(Threads::closeQuietly);
            String verdict = code == BROKEN ? "broken" : code == HELD ? "held" : "not run";
            test.record.line("verdict: " + verdict);
            System.out.println("verdict: " + verdict);
            test.record.close();
        }
        Runtime.getRuntime().halt(code);
    }

    /** Returns the text of a configuration. */
    static String config(int version, String routes, String services) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + routes
                + "],\"services\":["
                + services
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":[{\"name\":\"tenant-a\",\"apiKeys\":[\"key-of-tenant\"]}]}";
    }

    static String route(
            String prefix, String kind, String service, int timeoutMs, int attempts, String more) {
        return String.format(
                "{\"name\":\"r%s\",\"host\":\"x.example\",\"prefix\":\"%s\",\"kind\":\"%s\","
                        + "\"timeoutMs\":%d,\"latencyTargetMs\":800,\"priority\":1,"
                        + "\"service\":\"%s\",\"maxAttempts\":%d,\"public\":false%s}",
                prefix.replace('/', '-'), prefix, kind, timeoutMs, service, attempts, more);
    }

    static String service(String name) {
        return "{\"name\":\""
                + name
                + "\",\"healthPath\":\"/healthz\",\"maxConns\":620,\"protocol\":\"h1\","
                + "\"tls\":false,\"coldStartS\":0,\"coldPerS\":0}";
    }
}
