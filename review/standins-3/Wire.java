import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on a socket. */
final class Wire {
    private Wire() {}

    /** One message; for a request {@code start} is its request line, else the status line. */
    static final class Message {
        final String start;
        final Map<String, String> headers;
        byte[] body = new byte[0];

        Message(String start, Map<String, String> headers) {
            this.start = start;
            this.headers = headers;
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String query(String name) {
            String[] parts = target().split("\\?", 2);
            if (parts.length == 2) {
                for (String pair : parts[1].split("&")) {
                    if (pair.startsWith(name + "=")) {
                        return java.net.URLDecoder.decode(
                                pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                    }
                }
            }
            return "";
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads the head of a message; null at the end of the connection. */
    static Message readHead(InputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); ; line = readLine(in)) {
            if (line == null) {
                throw new EOFException("connection ended inside a head");
            }
            if (line.isEmpty()) {
                return new Message(start, headers);
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
    }

    /** Reads a message with its body; null at the end of the connection. */
    static Message read(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message != null) {
            message.body = readBody(in, message);
        }
        return message;
    }

    static byte[] readBody(InputStream in, Message message) throws IOException {
        if (message.header("Transfer-Encoding").toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
                bytes.writeBytes(chunk);
            }
            return bytes.toByteArray();
        }
        String length = message.header("Content-Length");
        return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
    }

    /** Reads one chunk; an empty one is the last. */
    static byte[] readChunk(InputStream in) throws IOException {
        String size = readLine(in);
        if (size == null) {
            throw new EOFException("connection ended between chunks");
        }
        byte[] chunk = exactly(in, Integer.parseInt(size.split(";")[0].trim(), 16));
        readLine(in);
        return chunk;
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("connection ended inside a body");
        }
        return bytes;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); ; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("connection ended inside a line");
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns a response with a length. */
    static byte[] response(int status, String headers, byte[] body) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(
                bytes(
                        "HTTP/1.1 "
                                + status
                                + " S\r\n"
                                + headers
                                + "Content-Length: "
                                + body.length
                                + "\r\n\r\n"));
        out.writeBytes(body);
        return out.toByteArray();
    }
}
