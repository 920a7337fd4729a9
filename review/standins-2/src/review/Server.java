package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** HTTP/1.1 server on a loopback address with one thread for each connection. */
class Server implements AutoCloseable {
    /** Answers the requests of all connections; may be called by several threads at once. */
    interface Handler {
        void handle(HttpMessage request, Channel channel) throws IOException;
    }

    /** The connection of a request. */
    static final class Channel {
        private final Socket socket;
        private final OutputStream out;

        private Channel(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Writes a complete response; each header ends with CRLF. */
        void respond(String status, String headers, byte[] body) throws IOException {
            byte[] head =
                    ("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8);
            byte[] message = new byte[head.length + body.length];
            System.arraycopy(head, 0, message, 0, head.length);
            System.arraycopy(body, 0, message, head.length, body.length);
            write(message);
        }

        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection is discarded in any case.
            }
        }

        /** Closes the connection with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
            } catch (IOException e) {
                // Closed already.
            }
            close();
        }
    }

    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    Server(String host, int port, Handler handler) throws IOException {
        this.handler = handler;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
        Thread acceptor = new Thread(this::accept, "accept-" + port());
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return listener.getInetAddress().getHostAddress() + ":" + port();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                Thread thread = new Thread(() -> serve(socket), "serve-" + port());
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                if (listener.isClosed()) {
                    return;
                }
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Channel channel = new Channel(socket);
            for (HttpMessage request = HttpMessage.readRequest(in);
                    request != null && !socket.isClosed();
                    request = HttpMessage.readRequest(in)) {
                handler.handle(request, channel);
            }
        } catch (IOException e) {
            // The peer has left.
        } finally {
            open.remove(socket);
        }
    }

    /** Closes the listener and all connections. */
    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // The listener is discarded in any case.
        }
        for (Socket socket : open) {
            try {
                socket.close();
            } catch (IOException e) {
                // The connection is discarded in any case.
            }
        }
    }
}
