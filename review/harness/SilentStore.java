import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy before the store; its open channels can go silent for good while new ones work. */
final class SilentStore implements AutoCloseable {
    private final java.net.ServerSocket mServer = new java.net.ServerSocket();
    private final InetSocketAddress mTarget;
    private final Set<Channel> mChannels = ConcurrentHashMap.newKeySet();
    private volatile boolean mClosed;

    private static final class Channel {
        private final Socket mNear;
        private final Socket mFar;
        private volatile boolean mSilent;

        Channel(Socket near, Socket far) {
            mNear = near;
            mFar = far;
        }
    }

    SilentStore(InetSocketAddress target) throws IOException {
        mTarget = target;
        mServer.bind(new InetSocketAddress("127.0.0.1", 0), 1024);
        Http.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mServer.getLocalPort();
    }

    private void accept() {
        while (!mClosed) {
            try {
                Socket near = mServer.accept();
                Socket far = new Socket();
                far.connect(mTarget, 1_000);
                Channel channel = new Channel(near, far);
                near.setTcpNoDelay(true);
                far.setTcpNoDelay(true);
                mChannels.add(channel);
                Http.daemon(() -> copy(channel, near, far));
                Http.daemon(() -> copy(channel, far, near));
            } catch (IOException e) {
                if (!mClosed) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    private void copy(Channel channel, Socket from, Socket to) {
        byte[] bytes = new byte[65_536];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                // What is under way on a silent channel is lost, in both directions.
                if (!channel.mSilent) {
                    out.write(bytes, 0, count);
                }
            }
        } catch (IOException e) {
            // One side has closed.
        }
        if (!channel.mSilent) {
            close(channel);
        }
    }

    /** Makes all open channels silent; returns their number. */
    int silence() {
        int count = 0;
        for (Channel channel : mChannels) {
            channel.mSilent = true;
            count++;
        }
        mChannels.clear();
        return count;
    }

    private void close(Channel channel) {
        mChannels.remove(channel);
        try {
            channel.mNear.close();
            channel.mFar.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    @Override
    public void close() {
        mClosed = true;
        try {
            mServer.close();
        } catch (IOException e) {
            // Closed already.
        }
        mChannels.forEach(this::close);
    }
}
