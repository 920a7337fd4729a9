import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One entry, started with the command and the settings template of the deploy folder. */
final class Entry implements AutoCloseable {
    /** The ports of all entries of a case: callers, readiness, peers, metrics. */
    record Ports(int front, int ready, int control, int internal) {}

    final String host;
    final Ports ports;
    final Path log;
    private final Path settings;
    private Process process;

    Entry(Path folder, String name, String host, String zone, Ports ports, String seeds, Store store)
            throws IOException {
        this.host = host;
        this.ports = ports;
        this.log = folder.resolve(name + ".log");
        this.settings = folder.resolve(name + ".ini");
        Map<String, String> fields = new TreeMap<>();
        fields.put("nodeName", name);
        fields.put("zone", zone);
        fields.put("region", "region");
        fields.put("bind.front", host + ":" + ports.front());
        fields.put("bind.ready", host + ":" + ports.ready());
        fields.put("bind.control", host + ":" + ports.control());
        fields.put("ip", host);
        fields.put("internalPorts.0", String.valueOf(ports.internal()));
        fields.put("seeds", seeds);
        fields.put("platform.address", store.address());
        fields.put("bounds.configDeadlineMs", "2000");
        fields.put("bounds.drainMs", "2000");
        fields.put("bounds.retryBudgetRatio", "0.2");
        fields.put("bounds.retryBudgetSlack", "56");
        fields.put("bounds.budgetWindowS", "10");
        fields.put("bounds.graceS", "8");
        fields.put("limits.cpuShare", "0.75");
        fields.put("limits.cores", "1");
        fields.put("limits.memoryMb", "430");
        fields.put("limits.linkMbps", "1000.0");
        String template = Files.readString(Path.of("deploy/settings.ini.template"));
        Matcher placeholder = Pattern.compile("\\{\\{([^}]+)}}").matcher(template);
        StringBuilder text = new StringBuilder();
        while (placeholder.find()) {
            String value = fields.get(placeholder.group(1));
            if (value == null) {
                throw new IOException("no value for " + placeholder.group(1));
            }
            placeholder.appendReplacement(text, Matcher.quoteReplacement(value));
        }
        Files.writeString(settings, placeholder.appendTail(text).toString());
        start();
    }

    /** Starts the process again, or for the first time. */
    void start() throws IOException {
        Matcher run =
                Pattern.compile("(?m)^run = \"(.*)\"$")
                        .matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("deploy file has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
        builder.environment().put("BULRUSHVALE_CONFIG", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    /** Returns the status of a readiness check, or 0 without an answer within a second. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new java.net.InetSocketAddress(host, ports.ready()), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(Wire.bytes("GET /readyz HTTP/1.1\r\nHost: " + host + "\r\n\r\n"));
            Wire.Message answer = Wire.read(socket.getInputStream());
            return answer == null ? 0 : answer.status();
        } catch (IOException e) {
            return 0;
        }
    }

    void awaitReady() throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (readiness() != 200) {
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("entry is not ready");
            }
            Thread.sleep(100);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Sends a signal to the process. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    /** Kills the process. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    /** Returns ports that are free on a loopback address. */
    static Ports freePorts(String host) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName(host)));
        }
        Ports ports =
                new Ports(
                        sockets.get(0).getLocalPort(),
                        sockets.get(1).getLocalPort(),
                        sockets.get(2).getLocalPort(),
                        sockets.get(3).getLocalPort());
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
