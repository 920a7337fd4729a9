import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a sound runner; the work of a request is set by its case. */
final class Runner implements AutoCloseable {
    interface Work {
        /** Runs a request and writes its answer. */
        void run(Runner runner, Wire.Message request, Socket socket) throws Exception;
    }

    private static final AtomicInteger STAMPS = new AtomicInteger();

    final String id;
    final String service;
    final String zone;
    final String version;
    final long born = System.currentTimeMillis();
    private final ServerSocket listener;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Work work;
    private int sequence;

    Runner(String id, String service, String zone, String version, String host, int port, Work work)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.work = work;
        listener = Threads.listen(host, port);
    }

    /** Registers, then begins to serve. */
    Runner begin(Store store) {
        register(store, "ready");
        Threads.accept(listener, this::serve);
        return this;
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Writes the entry of this runner to the store. */
    synchronized void register(Store store, String state) {
        store.put(
                "servers/" + id,
                String.format(
                        "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"%s\","
                                + "\"slots\":128,\"state\":\"%s\",\"coldLeftMs\":0,"
                                + "\"sequence\":%d,\"born\":%d}",
                        service, address(), zone, version, state, ++sequence, born));
    }

    private void serve(Socket socket) throws Exception {
        open.add(socket);
        try {
            for (Wire.Message request = Wire.read(socket.getInputStream());
                    request != null;
                    request = Wire.read(socket.getInputStream())) {
                String expected = request.header("Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    write(socket, Wire.response(421, echo(request) + "Not-Executed: 1\r\n", new byte[0]));
                } else {
                    work.run(this, request, socket);
                }
            }
        } finally {
            open.remove(socket);
        }
    }

    /** Returns the headers of an answer of this runner. */
    String headers(Wire.Message request) {
        return echo(request) + "Response-Stamp: " + id + "." + STAMPS.incrementAndGet() + "\r\n";
    }

    private static String echo(Wire.Message request) {
        String attempt = request.header("Attempt-Id");
        return attempt.isEmpty() ? "" : "Attempt-Id: " + attempt + "\r\n";
    }

    static void write(Socket socket, byte[] bytes) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        out.flush();
    }

    boolean isUp() {
        return !listener.isClosed();
    }

    /** Ends as a killed process does: the listener and all connections close. */
    void crash() {
        Threads.closeQuietly(listener);
        open.forEach(Threads::closeQuietly);
    }

    @Override
    public void close() {
        crash();
    }
}
