package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One forwarding entry, started with the command and the settings template of the deploy file. */
final class Entry implements AutoCloseable {
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([A-Za-z0-9.]+)}}");

    private final String host;
    private final int[] ports;
    private final Path log;
    private final Process process;

    /** Returns four free ports: callers, readiness, peers and metrics. */
    static int[] freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[4];
        for (int i = 0; i < ports.length; i++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /**
     * Starts an entry.
     *
     * @param seeds addresses of the peer listeners of the entries, separated by commas
     */
    Entry(String name, String host, String zone, int[] ports, String seeds, String store, Path dir)
            throws IOException {
        this.host = host;
        this.ports = ports;
        log = dir.resolve(name + ".log");
        Map<String, String> values = new TreeMap<>();
        values.put("nodeName", name);
        values.put("zone", zone);
        values.put("region", "ne-east");
        values.put("ip", host);
        values.put("bind.front", host + ":" + ports[0]);
        values.put("bind.ready", host + ":" + ports[1]);
        values.put("bind.control", host + ":" + ports[2]);
        values.put("internalPorts.0", String.valueOf(ports[3]));
        values.put("seeds", seeds);
        values.put("platform.address", store);
        // The figures of the sheet of the Oathbook deployment of 8 machines.
        values.put("bounds.configDeadlineMs", "2000");
        values.put("bounds.drainMs", "2000");
        values.put("bounds.retryBudgetRatio", "0.2");
        values.put("bounds.retryBudgetSlack", "56");
        values.put("bounds.budgetWindowS", "10");
        values.put("bounds.graceS", "8");
        values.put("limits.cpuShare", "0.75");
        values.put("limits.cores", "1");
        values.put("limits.memoryMb", "430");
        values.put("limits.linkMbps", "1000.0");
        Path settings = dir.resolve(name + ".ini");
        String template = Files.readString(Path.of("deploy/settings.ini.template"));
        Files.writeString(
                settings,
                PLACEHOLDER
                        .matcher(template)
                        .replaceAll(
                                match -> Matcher.quoteReplacement(values.get(match.group(1)))));
        Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no command");
        }
        ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
        Map<String, String> inherited = Map.copyOf(builder.environment());
        builder.environment().clear();
        for (String variable : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (inherited.containsKey(variable)) {
                builder.environment().put(variable, inherited.get(variable));
            }
        }
        builder.environment().put("BULRUSHVALE_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    String host() {
        return host;
    }

    int callerPort() {
        return ports[0];
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the status of the readiness check; 0 when there is no answer within a second. */
    int readiness() {
        return get(ports[1], "/readyz").startsWith("HTTP/1.1 200") ? 200 : 0;
    }

    private String get(int port, String path) {
        try (Socket socket = new Socket(host, port)) {
            socket.setSoTimeout(1_000);
            socket.getOutputStream()
                    .write(
                            ("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "";
        }
    }

    void awaitReady(Duration limit) throws IOException, InterruptedException {
        long deadline = System.nanoTime() + limit.toNanos();
        while (readiness() != 200) {
            if (System.nanoTime() > deadline || !process.isAlive()) {
                throw new IOException("entry is not ready; its log:\n" + Files.readString(log));
            }
            Thread.sleep(50);
        }
    }

    List<String> logLines(String text) throws IOException {
        return Files.readString(log, StandardCharsets.UTF_8).lines()
                .filter(line -> line.contains(text))
                .toList();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
