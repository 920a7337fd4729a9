import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** One channel of a sound client. */
final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;

    /** True when the machine has announced that it closes the channel. */
    boolean closing;

    Client(String host, int port, int timeoutMs) throws IOException {
        socket.connect(new InetSocketAddress(host, port), 1_000);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMs);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String path, String attempt, int deadlineMs, String headers, byte[] body)
            throws IOException {
        String head =
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: "
                        + attempt
                        + "\r\nDeadline-Ms: "
                        + deadlineMs
                        + "\r\nKey: key-of-tenant\r\n"
                        + headers
                        + (method.equals("GET") ? "" : "Content-Length: " + body.length + "\r\n")
                        + "\r\n";
        socket.getOutputStream().write(Wire.bytes(head));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    Wire.Message answer() throws IOException {
        return Wire.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
