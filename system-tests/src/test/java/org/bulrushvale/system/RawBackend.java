package org.bulrushvale.system;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A backend server whose answers are raw bytes, so that a test can send what the HTTP library of
 * the stand-ins does not produce.
 *
 * <p>Thread safety: safe for use by any thread.
 */
final class RawBackend implements AutoCloseable {
    static final String EPOCH = "1";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ServerSocket mSocket;
    private final Script mScript;
    private final Script mReports;
    private final List<Socket> mConnections = new CopyOnWriteArrayList<>();

    private RawBackend(ServerSocket socket, Script script, Script reports) {
        mSocket = socket;
        mScript = script;
        mReports = reports;
    }

    /** Starts a server that answers load reports as a warm one. */
    static RawBackend start(Script script) throws IOException {
        return start(
                script,
                (call, connection) -> {
                    write(connection, response(200, "", loadReport()));
                    return true;
                });
    }

    static RawBackend start(Script script, Script reports) throws IOException {
        ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        RawBackend server = new RawBackend(socket, script, reports);
        startDaemonThread(server::acceptConnections);
        return server;
    }

    int port() {
        return mSocket.getLocalPort();
    }

    private static void startDaemonThread(Runnable task) {
        Thread thread = new Thread(task, "raw-backend");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        while (!mSocket.isClosed()) {
            try {
                Socket socket = mSocket.accept();
                socket.setTcpNoDelay(true);
                mConnections.add(socket);
                startDaemonThread(() -> serve(socket));
            } catch (IOException expected) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            for (String request = readLine(in); request != null; request = readLine(in)) {
                JsonNode body = JSON.readTree(readBody(in));
                if (request.startsWith("GET /v1/load ")) {
                    if (!mReports.answer(body, socket)) {
                        return;
                    }
                } else if (!mScript.answer(body, socket)) {
                    return;
                }
            }
        } catch (IOException expected) {
            // The client closed the connection.
        }
    }

    private static byte[] readBody(InputStream in) throws IOException {
        int length = 0;
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring("content-length:".length()).trim());
            }
        }
        return in.readNBytes(length);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int value = in.read(); value >= 0; value = in.read()) {
            if (value == '\n') {
                return line.toString(StandardCharsets.ISO_8859_1).trim();
            }
            line.write(value);
        }
        return null;
    }

    private static String loadReport() {
        return ("{'server':'s','epoch':"
                        + EPOCH
                        + ",'state':'warm','slots':64,'bearable':64,"
                        + "'running':0,'queued':0,'age_ms':0}")
                .replace('\'', '"');
    }

    /** Returns a complete response with its length; header lines end with CRLF. */
    static String response(int status, String headers, String body) {
        return "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s"
                .formatted(status, headers, body.length(), body);
    }

    /** Returns bytes as one chunk of a chunked body. */
    static String chunk(String bytes) {
        return Integer.toHexString(bytes.length()) + "\r\n" + bytes + "\r\n";
    }

    static void write(Socket socket, String bytes) throws IOException {
        socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
        for (Socket socket : mConnections) {
            socket.close();
        }
    }

    /** Decides what the server sends for each call. */
    @FunctionalInterface
    interface Script {
        /** Answers a call; returns false to close the connection. */
        boolean answer(JsonNode call, Socket connection) throws IOException;
    }
}
