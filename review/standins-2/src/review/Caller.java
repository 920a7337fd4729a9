package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Sends one request on a new connection, as a client does that waits until its deadline. */
final class Caller {
    /**
     * What a caller has received.
     *
     * @param status status of the answer; 0 when there was none
     * @param millis time from the first byte sent to the last byte received
     * @param detail why there was no answer; empty otherwise
     */
    record Answer(int status, HttpMessage message, long millis, String detail) {}

    private Caller() {}

    /**
     * Sends a request and reads its answer.
     *
     * @param waitMillis longest gap after which the caller leaves
     */
    static Answer send(Entry entry, String head, byte[] body, int waitMillis) {
        long start = System.nanoTime();
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(entry.host(), entry.callerPort()), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(waitMillis);
            byte[] bytes =
                    (head + "Content-Length: " + body.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.UTF_8);
            byte[] request = new byte[bytes.length + body.length];
            System.arraycopy(bytes, 0, request, 0, bytes.length);
            System.arraycopy(body, 0, request, bytes.length, body.length);
            socket.getOutputStream().write(request);
            HttpMessage answer =
                    HttpMessage.readResponse(new BufferedInputStream(socket.getInputStream()));
            long millis = (System.nanoTime() - start) / 1_000_000;
            return answer == null
                    ? new Answer(0, null, millis, "connection closed")
                    : new Answer(answer.status(), answer, millis, "");
        } catch (IOException e) {
            long millis = (System.nanoTime() - start) / 1_000_000;
            return new Answer(0, null, millis, e.toString());
        }
    }
}
