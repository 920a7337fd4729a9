package org.bulrushvale.systemtests.soak;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.bulrushvale.platform.EntryHarness;
import org.bulrushvale.platform.ScriptedServer;
import org.bulrushvale.systemtests.soak.SoakRequest.Outcome;

/**
 * A caller that uses each connection to its entry until the entry closes it, and returns what it
 * saw of all its requests. With {@code connectsAlways} it also connects to an entry that is
 * shutting down, as if no balancer kept it away.
 *
 * <p>Thread safety: runs in one thread.
 */
record SoakCaller(
        SoakEntry entry,
        SplittableRandom random,
        boolean connectsAlways,
        Supplier<String> ids,
        BooleanSupplier isOver,
        List<Outcome> outcomes)
        implements Callable<List<Outcome>> {
    private static final int READ_TIMEOUT_MILLIS = 12_000;
    private static final String HEAD =
            "POST %s HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: %s\r\nKey: %s\r\n"
                    + "Content-Length: %d\r\n\r\n%s";

    @Override
    public List<Outcome> call() throws InterruptedException {
        while (!isOver.getAsBoolean()) {
            SoakEntry.Life process = entry.life();
            if (!connectsAlways && process.term() != 0) {
                TimeUnit.MILLISECONDS.sleep(5);
                continue;
            }
            try (Socket socket = entry.connect()) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                useConnection(socket, process);
            } catch (IOException notRunning) {
                TimeUnit.MILLISECONDS.sleep(1 + random.nextInt(20));
            }
        }
        return outcomes;
    }

    private void useConnection(Socket socket, SoakEntry.Life process)
            throws IOException, InterruptedException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean open = true;
        while (open && !isOver.getAsBoolean()) {
            int share = random.nextInt(6);
            String manner = share == 0 ? "pipelined" : share < 3 ? "pieces" : "at once";
            List<SoakRequest> batch = new ArrayList<>();
            for (int left = share == 0 ? 2 + random.nextInt(3) : 1; left > 0; left--) {
                batch.add(SoakRequest.choose(ids.get(), random, manner, process));
            }
            open = exchange(socket, in, batch) && random.nextInt(8) > 0;
            if (open) {
                int longest = random.nextInt(8) > 0 ? 30 : 800;
                TimeUnit.MILLISECONDS.sleep(random.nextInt(longest));
            }
        }
    }

    /** Sends requests and reads their answers; returns false when the connection has ended. */
    private boolean exchange(Socket socket, InputStream in, List<SoakRequest> batch)
            throws InterruptedException {
        double sent = 0;
        String failure = "";
        try {
            send(socket, batch);
            sent = SoakRequest.now();
        } catch (IOException e) {
            failure = "sending: " + e.getMessage() + ", ";
        }
        boolean open = true;
        boolean closes = false;
        for (SoakRequest request : batch) {
            Answer answer = new Answer();
            if (open) {
                try {
                    answer.read(in);
                } catch (IOException | RuntimeException e) {
                    open = false;
                    failure += e.getMessage();
                }
            }
            outcomes.add(answer.outcome(request, sent, open, closes, failure));
            closes |= answer.mAnnouncesClose || !open;
        }
        return !closes && failure.isEmpty();
    }

    private void send(Socket socket, List<SoakRequest> batch)
            throws IOException, InterruptedException {
        StringBuilder text = new StringBuilder();
        for (SoakRequest request : batch) {
            String body = request.body();
            String key = EntryHarness.API_KEY;
            text.append(HEAD.formatted(request.target(), request.id(), key, body.length(), body));
        }
        byte[] bytes = text.toString().getBytes(ISO_8859_1);
        int sent = 0;
        if (batch.get(0).manner().equals("pieces")) {
            for (int left = 1 + random.nextInt(3); left > 0; left--) {
                int size = 1 + random.nextInt(bytes.length - sent - left);
                socket.getOutputStream().write(bytes, sent, size);
                sent += size;
                TimeUnit.MILLISECONDS.sleep(random.nextInt(300));
            }
        }
        socket.getOutputStream().write(bytes, sent, bytes.length - sent);
    }

    /** An answer while it is read. */
    private static final class Answer {
        private final ByteArrayOutputStream mText = new ByteArrayOutputStream();
        private final Map<String, String> mHeaders = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        private int mStatus;
        private boolean mAnnouncesClose;

        private void read(InputStream in) throws IOException {
            String statusLine = requireLine(in);
            String line = requireLine(in);
            while (!line.isEmpty()) {
                String[] parts = line.split(":", 2);
                mHeaders.put(parts[0], parts[1].trim());
                line = requireLine(in);
            }
            mStatus = Integer.parseInt(statusLine.split(" ", 3)[1]);
            String length = mHeaders.get("Content-Length");
            mAnnouncesClose = mHeaders.getOrDefault("Connection", "").equals("close");
            if (mHeaders.getOrDefault("Transfer-Encoding", "").equals("chunked")) {
                int size;
                do {
                    size = Integer.parseInt(requireLine(in), 16);
                    copy(in, size);
                    requireLine(in);
                } while (size > 0);
            } else if (length != null) {
                copy(in, Integer.parseInt(length));
            } else {
                mAnnouncesClose = true;
                in.transferTo(mText);
            }
        }

        private static String requireLine(InputStream in) throws IOException {
            String line = ScriptedServer.readLine(in);
            if (line == null) {
                throw new IOException("closed by the entry");
            }
            return line;
        }

        private void copy(InputStream in, int size) throws IOException {
            byte[] bytes = in.readNBytes(size);
            mText.writeBytes(bytes);
            if (bytes.length < size) {
                throw new IOException("closed within a body or chunk");
            }
        }

        private Outcome outcome(
                SoakRequest request, double sent, boolean whole, boolean behind, String how) {
            String id = mHeaders.getOrDefault("Attempt-Id", "");
            String text = mText.toString(ISO_8859_1);
            boolean belongs = request.expectedText().startsWith(text);
            int length = text.length();
            double end = SoakRequest.now();
            return new Outcome(
                    request, sent, end, whole, behind, how, mStatus, id, length, belongs);
        }
    }
}
