import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on a loopback address with one thread per connection. */
final class Http implements AutoCloseable {
    interface Handler {
        /** Returns true when the connection may carry another request. */
        boolean handle(Request request, Connection connection) throws Exception;
    }

    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String query(String name) {
            int question = target.indexOf('?');
            if (question >= 0) {
                for (String part : target.substring(question + 1).split("&")) {
                    if (part.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(
                                part.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }
    }

    private final ServerSocket mServer = new ServerSocket();
    private final Handler mHandler;
    private final Set<Connection> mOpen = ConcurrentHashMap.newKeySet();
    private volatile boolean mClosed;

    Http(InetSocketAddress bind, Handler handler) throws IOException {
        mHandler = handler;
        mServer.setReuseAddress(true);
        mServer.bind(bind, 1024);
        daemon(this::acceptAll);
    }

    Http(Handler handler) throws IOException {
        this(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), handler);
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    InetSocketAddress bound() {
        return (InetSocketAddress) mServer.getLocalSocketAddress();
    }

    String address() {
        return bound().getAddress().getHostAddress() + ":" + bound().getPort();
    }

    private void acceptAll() {
        while (!mClosed) {
            try {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                Connection connection = new Connection(socket);
                mOpen.add(connection);
                daemon(() -> serve(connection));
            } catch (IOException e) {
                if (!mClosed) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    private void serve(Connection connection) {
        try {
            for (Request next = connection.read(); next != null; next = connection.read()) {
                if (!mHandler.handle(next, connection)) {
                    break;
                }
            }
        } catch (Exception e) {
            // The other side has closed the connection.
        } finally {
            mOpen.remove(connection);
            connection.close();
        }
    }

    /** Closes the listener and resets all connections, as the end of a process does. */
    @Override
    public void close() {
        mClosed = true;
        try {
            mServer.close();
        } catch (IOException e) {
            // Closed already.
        }
        mOpen.forEach(Connection::reset);
    }

    static final class Connection {
        private final Socket mSocket;
        private final InputStream mIn;
        private final OutputStream mOut;

        Connection(Socket socket) throws IOException {
            mSocket = socket;
            mIn = new BufferedInputStream(socket.getInputStream(), 16384);
            mOut = socket.getOutputStream();
        }

        Request read() throws IOException {
            String head = readHead(mIn);
            if (head == null) {
                return null;
            }
            String[] lines = head.split("\r\n");
            String[] first = lines[0].split(" ");
            Map<String, String> headers = headers(lines);
            return new Request(first[0], first[1], headers, readBody(mIn, headers));
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        void write(byte[] bytes) throws IOException {
            mOut.write(bytes);
            mOut.flush();
        }

        void respond(int status, String headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(
                    ("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            all.writeBytes(bytes);
            write(all.toByteArray());
        }

        void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            write(Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n");
        }

        boolean isClosedByPeer() {
            try {
                mSocket.setSoTimeout(1);
                int next = mIn.read();
                return next < 0;
            } catch (java.net.SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                return true;
            } finally {
                try {
                    mSocket.setSoTimeout(0);
                } catch (IOException e) {
                    // Closed.
                }
            }
        }

        void reset() {
            try {
                mSocket.setSoLinger(true, 0);
            } catch (IOException e) {
                // Closed already.
            }
            close();
        }

        void close() {
            try {
                mSocket.close();
            } catch (IOException e) {
                // Closed already.
            }
        }
    }

    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) {
                if (head.size() == 0) {
                    return null;
                }
                throw new EOFException("head ended early");
            }
            head.write(next);
            matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> headers(String[] lines) {
        Map<String, String> headers = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon > 0) {
                headers.put(
                        lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                        lines[i].substring(colon + 1).trim());
            }
        }
        return headers;
    }

    static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("transfer-encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            byte[] chunk = readChunk(in);
            while (chunk.length > 0) {
                body.writeBytes(chunk);
                chunk = readChunk(in);
            }
            return body.toByteArray();
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("body ended early");
        }
        return body;
    }

    /** Reads one chunk with its framing; empty at the end of the body. */
    static byte[] readChunk(InputStream in) throws IOException {
        int length = Integer.parseInt(readLine(in).trim().split(";")[0], 16);
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("chunk ended early");
        }
        readLine(in);
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("line ended early");
            }
            line.append((char) next);
        }
        return line.toString();
    }
}
