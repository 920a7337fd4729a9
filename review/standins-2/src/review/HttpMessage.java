package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** One HTTP/1.1 message that was read completely. Header names are in lower case. */
record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
    private static final int MAX_HEAD_BYTES = 64 << 10;

    /** Reads a request; returns null at the end of the connection. */
    static HttpMessage readRequest(InputStream in) throws IOException {
        return read(in, false);
    }

    /** Reads a response; returns null at the end of the connection. */
    static HttpMessage readResponse(InputStream in) throws IOException {
        return read(in, true);
    }

    private static HttpMessage read(InputStream in, boolean response) throws IOException {
        String startLine = readLine(in);
        if (startLine == null) {
            return null;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                headers.put(
                        line.substring(0, colon).toLowerCase(Locale.ROOT),
                        line.substring(colon + 1).trim());
            }
        }
        byte[] body = new byte[0];
        if ("chunked".equalsIgnoreCase(headers.getOrDefault("transfer-encoding", ""))) {
            body = readChunks(in);
        } else if (headers.containsKey("content-length")) {
            body = readExactly(in, Integer.parseInt(headers.get("content-length")));
        } else if (response) {
            body = in.readAllBytes();
        }
        return new HttpMessage(startLine, headers, body);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = readLine(in);
            if (size == null) {
                throw new EOFException("no last chunk");
            }
            int length = Integer.parseInt(size.split(";", 2)[0].trim(), 16);
            body.writeBytes(readExactly(in, length));
            readLine(in);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }

    private static byte[] readExactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("body ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    /** Reads a line without its end; returns null when the connection ends before its first byte. */
    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("message ended inside a line");
            }
            if (line.size() > MAX_HEAD_BYTES) {
                throw new IOException("line is too long");
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
        return startLine.split(" ", 3)[0];
    }

    String target() {
        return startLine.split(" ", 3)[1];
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(startLine.split(" ", 3)[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
