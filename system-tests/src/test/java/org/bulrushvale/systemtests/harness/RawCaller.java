package org.bulrushvale.systemtests.harness;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;

/**
 * A caller that keeps one connection open and decides when each byte is sent and read.
 *
 * <p>Invariant: answers are read in the order of the requests. Thread safety: not safe; used by one
 * thread.
 */
public final class RawCaller implements AutoCloseable {
    private static final int READ_TIMEOUT_MS = 20_000;

    private final Socket mSocket = new Socket();
    private final InputStream mInput;

    private RawCaller(URI entry, int receiveBufferBytes) throws IOException {
        if (receiveBufferBytes > 0) {
            mSocket.setReceiveBufferSize(receiveBufferBytes);
        }
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(READ_TIMEOUT_MS);
        mSocket.connect(new InetSocketAddress(entry.getHost(), entry.getPort()));
        mInput = new BufferedInputStream(mSocket.getInputStream());
    }

    /**
     * One answer.
     *
     * <p>Thread safety: immutable.
     *
     * @param status HTTP status, 0 when the connection ended before the answer was complete
     * @param body body, or how the connection ended
     */
    public record Answer(int status, String body) {
        /** Returns true for a complete success or a refusal that says that nothing has run. */
        public boolean isWholeOrNotRun() {
            return status == 200 || (status != 0 && body.contains("\"verdict\":\"NOT_RUN\""));
        }

        @Override
        public String toString() {
            return status + " " + body.substring(0, Math.min(200, body.length()));
        }
    }

    /** Connects to the caller listener of an entry. */
    public static RawCaller connect(URI entry) throws IOException {
        return new RawCaller(entry, 0);
    }

    /** Connects with a receive buffer of the given size. */
    public static RawCaller connect(URI entry, int receiveBufferBytes) throws IOException {
        return new RawCaller(entry, receiveBufferBytes);
    }

    /** Returns the bytes of a request without a key whose answer is streamed. */
    public static String streamedRequest(String workClass, String input, int maxTokens) {
        return request(workClass, input, maxTokens)
                .replaceFirst("\r\n", "\r\nAccept: text/event-stream\r\n");
    }

    /** Returns the bytes of a request without a key whose answer is not streamed. */
    public static String request(String workClass, String input, int maxTokens) {
        String body =
                "{\"workspace\":\"city-halls\",\"class\":\"%s\",\"input\":\"%s\",\"max_tokens\":%d}"
                        .formatted(workClass, input, maxTokens);
        return "POST /v1/requests HTTP/1.1\r\nHost: entry\r\n"
                + "Authorization: Bearer city-halls-token\r\n"
                + "Content-Type: application/json\r\n"
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }

    /** Sends bytes as they are. */
    public void send(String bytes) throws IOException {
        mSocket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads the next answer; a stream is complete with its end event. */
    public Answer readAnswer() {
        try {
            String statusLine = readLine();
            int length = -1;
            for (String line = readLine(); !line.isEmpty(); line = readLine()) {
                String lower = line.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(lower.substring("content-length:".length()).trim());
                }
            }
            String body = length < 0 ? readChunks() : readBytes(length);
            if (length < 0 && !body.contains("event: end")) {
                return new Answer(0, "stream without end event");
            }
            return new Answer(Integer.parseInt(statusLine.split(" ")[1]), body);
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    private String readChunks() throws IOException {
        StringBuilder body = new StringBuilder();
        for (int size = readChunkSize(); size > 0; size = readChunkSize()) {
            body.append(readBytes(size));
            readLine();
        }
        readLine();
        return body.toString();
    }

    private int readChunkSize() throws IOException {
        return Integer.parseInt(readLine(), 16);
    }

    private String readBytes(int length) throws IOException {
        byte[] bytes = mInput.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("cut after " + bytes.length + " of " + length + " bytes");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = mInput.read(); next != '\n'; next = mInput.read()) {
            if (next < 0) {
                throw new EOFException("connection ended after \"" + line + "\"");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }

    /** Waits for the given time, as a caller that sends or reads slowly does. */
    public static void idle(Duration time) throws InterruptedException {
        Thread.sleep(time.toMillis());
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
