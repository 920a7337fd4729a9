import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Entry processes, started with the command and the settings template of the deploy file. */
final class Entries implements AutoCloseable {
    private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]+)}}");

    private final Path mRoot;
    private final Path mWork;
    private final List<Entry> mEntries = new ArrayList<>();

    /** One machine of the system. */
    final class Entry {
        final String mName;
        final String mIp;
        final Map<String, String> mFields = new HashMap<>();
        InetSocketAddress mFront;
        InetSocketAddress mReady;
        Process mProcess;
        int mStarts;

        Entry(String name, String ip) {
            mName = name;
            mIp = ip;
        }

        void start() throws IOException {
            Path settings = mWork.resolve(mName + ".ini");
            Files.writeString(settings, render(mFields));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(mRoot.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(Set.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("BULRUSHVALE_CONFIG", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(log().toFile());
            mStarts++;
            mProcess = builder.start();
            // The script ends the processes that are left when this one is ended itself.
            Files.writeString(
                    mWork.resolve("pids"),
                    mProcess.pid() + "\n",
                    StandardOpenOption.CREATE,
                    StandardOpenOption.APPEND);
        }

        Path log() {
            return mWork.resolve(mName + "-" + mStarts + ".log");
        }

        void kill() throws InterruptedException {
            mProcess.destroyForcibly();
            mProcess.waitFor();
        }

        boolean isReady() {
            try {
                return Caller.get(mReady, "/readyz", 1_000).mStatus == 200;
            } catch (IOException e) {
                return false;
            }
        }

        /** Returns false when the entry is not ready within the time. */
        boolean awaitReady(long millis) throws InterruptedException {
            long end = System.nanoTime() + millis * 1_000_000L;
            while (System.nanoTime() < end) {
                if (isReady()) {
                    return true;
                }
                Thread.sleep(50);
            }
            return false;
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, Long.toString(mProcess.pid())).start().waitFor();
        }
    }

    Entries(Path root, Path work, int count, String store) throws IOException {
        mRoot = root;
        mWork = work;
        List<String> seeds = new ArrayList<>();
        int control = controlPort(count);
        for (int i = 1; i <= count; i++) {
            Entry entry = new Entry("front-" + i, "127.0.1." + i);
            Set<Integer> used = new HashSet<>(Set.of(control));
            entry.mFront = new InetSocketAddress(entry.mIp, freePort(entry.mIp, used));
            entry.mReady = new InetSocketAddress(entry.mIp, freePort(entry.mIp, used));
            int metrics = freePort(entry.mIp, used);
            if (seeds.size() < 3) {
                seeds.add(entry.mIp + ":" + control);
            }
            Map<String, String> fields = entry.mFields;
            fields.put("nodeName", entry.mName);
            fields.put("zone", "zone-" + (char) ('a' + (i - 1) % 4));
            fields.put("region", "ne-east");
            fields.put("ip", entry.mIp);
            fields.put("bind.front", entry.mIp + ":" + entry.mFront.getPort());
            fields.put("bind.ready", entry.mIp + ":" + entry.mReady.getPort());
            fields.put("bind.control", entry.mIp + ":" + control);
            fields.put("internalPorts.0", Integer.toString(metrics));
            fields.put("platform.address", store);
            // The bounds of oathbook-ne.
            fields.put("bounds.configDeadlineMs", "2000");
            fields.put("bounds.drainMs", "2000");
            fields.put("bounds.retryBudgetRatio", "0.2");
            fields.put("bounds.retryBudgetSlack", "56");
            fields.put("bounds.budgetWindowS", "10");
            fields.put("bounds.graceS", "8");
            mEntries.add(entry);
        }
        mEntries.forEach(entry -> entry.mFields.put("seeds", String.join(",", seeds)));
    }

    /** Returns a port that is free at the addresses of all machines. */
    private static int controlPort(int count) throws IOException {
        while (true) {
            int port = freePort("127.0.1.1", new HashSet<>());
            boolean free = true;
            for (int i = 2; i <= count; i++) {
                try (ServerSocket socket =
                        new ServerSocket(port, 1, InetAddress.getByName("127.0.1." + i))) {
                    free &= socket.isBound();
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return port;
            }
        }
    }

    static int freePort(String ip, Set<Integer> used) throws IOException {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
                if (used.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            }
        }
    }

    private String render(Map<String, String> fields) throws IOException {
        String template = Files.readString(mRoot.resolve(deployValue("template")));
        return PLACEHOLDER
                .matcher(template)
                .replaceAll(
                        match -> {
                            String value = fields.get(match.group(1));
                            if (value == null) {
                                throw new IllegalStateException("no field " + match.group(1));
                            }
                            return Matcher.quoteReplacement(value);
                        });
    }

    private List<String> command() throws IOException {
        return List.of(deployValue("run").split(" "));
    }

    private String deployValue(String key) throws IOException {
        Matcher matcher =
                Pattern.compile("(?m)^" + key + " = \"(.*)\"$")
                        .matcher(Files.readString(mRoot.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new IllegalStateException("deploy file has no " + key);
        }
        return matcher.group(1);
    }

    Entry get(int index) {
        return mEntries.get(index);
    }

    List<Entry> all() {
        return mEntries;
    }

    void startAll() throws IOException {
        for (Entry entry : mEntries) {
            entry.start();
        }
    }

    @Override
    public void close() {
        for (Entry entry : mEntries) {
            if (entry.mProcess != null) {
                entry.mProcess.destroyForcibly();
            }
        }
        for (Entry entry : mEntries) {
            try {
                if (entry.mProcess != null) {
                    entry.mProcess.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            Files.writeString(mWork.resolve("pids"), "");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
