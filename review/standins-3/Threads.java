import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;

/** Daemon threads of the stand-ins. */
final class Threads {
    private Threads() {}

    interface Task {
        void run() throws Exception;
    }

    interface Handler {
        void serve(Socket socket) throws Exception;
    }

    static Thread start(String name, Task task) {
        Thread thread =
                new Thread(
                        null,
                        () -> {
                            try {
                                task.run();
                            } catch (Exception e) {
                                // The other side has gone, or the stand-in was closed.
                            }
                        },
                        name,
                        256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Serves each accepted connection on a thread of its own, which closes it at the end. */
    static void accept(ServerSocket listener, Handler handler) {
        start(
                "accept",
                () -> {
                    while (true) {
                        Socket socket = listener.accept();
                        socket.setTcpNoDelay(true);
                        start(
                                "serve",
                                () -> {
                                    try (socket) {
                                        handler.serve(socket);
                                    }
                                });
                    }
                });
    }

    static void closeQuietly(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // Closed already.
        }
    }

    static ServerSocket listen(String host, int port) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new java.net.InetSocketAddress(host, port), 512);
        return listener;
    }
}
