import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client that sends each request on a new channel and waits until its deadline. */
final class Caller {
    enum End {
        COMPLETE,
        CUT,
        TIMEOUT,
        NOT_CONNECTED
    }

    /** What the client saw. */
    static final class Answer {
        volatile int mStatus;
        volatile Map<String, String> mHeaders = Map.of();
        final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
        volatile End mEnd = End.NOT_CONNECTED;
        volatile long mMillis;

        String body() {
            return mBody.toString(StandardCharsets.UTF_8);
        }

        @Override
        public String toString() {
            return mEnd + " status " + mStatus + " after " + mMillis + " ms, " + mBody.size()
                    + " bytes";
        }
    }

    private Caller() {}

    static Answer get(InetSocketAddress to, String target, int millis) throws IOException {
        return send(to, "GET " + target + " HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0], millis);
    }

    /** Sends a request; the wait for each byte is limited so that all together take the time. */
    static Answer send(InetSocketAddress to, String head, byte[] body, int millis) {
        return send(to, head, body, millis, Integer.MAX_VALUE);
    }

    /**
     * @param millis how long the client waits for the whole answer
     * @param gapMillis the longest pause between parts of the answer
     */
    static Answer send(
            InetSocketAddress to, String head, byte[] body, int millis, int gapMillis) {
        Answer answer = new Answer();
        long start = System.nanoTime();
        long end = start + millis * 1_000_000L;
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            socket.setTcpNoDelay(true);
            answer.mEnd = End.CUT;
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            InputStream in = new BufferedInputStream(new Limited(socket, end, gapMillis));
            String received = Http.readHead(in);
            if (received != null) {
                String[] lines = received.split("\r\n");
                answer.mStatus = Integer.parseInt(lines[0].split(" ")[1]);
                answer.mHeaders = Http.headers(lines);
                if (answer.mHeaders.getOrDefault("transfer-encoding", "").equals("chunked")) {
                    byte[] chunk = Http.readChunk(in);
                    while (chunk.length > 0) {
                        answer.mBody.writeBytes(chunk);
                        chunk = Http.readChunk(in);
                    }
                } else {
                    answer.mBody.writeBytes(Http.readBody(in, answer.mHeaders));
                }
                answer.mEnd = End.COMPLETE;
            }
        } catch (java.net.SocketTimeoutException e) {
            answer.mEnd = End.TIMEOUT;
        } catch (IOException | RuntimeException e) {
            // The end says how far the exchange came.
        }
        answer.mMillis = (System.nanoTime() - start) / 1_000_000L;
        return answer;
    }

    /** Reads from a socket until a point in time. */
    private static final class Limited extends InputStream {
        private final Socket mSocket;
        private final InputStream mIn;
        private final long mEnd;
        private final int mGapMillis;

        Limited(Socket socket, long end, int gapMillis) throws IOException {
            mSocket = socket;
            mIn = socket.getInputStream();
            mEnd = end;
            mGapMillis = gapMillis;
        }

        private void limit() throws IOException {
            long left = Math.min(mGapMillis, (mEnd - System.nanoTime()) / 1_000_000L);
            if (left <= 0) {
                throw new java.net.SocketTimeoutException();
            }
            mSocket.setSoTimeout((int) left);
        }

        @Override
        public int read() throws IOException {
            limit();
            return mIn.read();
        }

        @Override
        public int read(byte[] bytes, int offset, int length) throws IOException {
            limit();
            return mIn.read(bytes, offset, length);
        }
    }
}
