package org.bulrushvale.daemon.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.adapters.peer.PeerTransport;
import org.bulrushvale.daemon.FleetNotices;
import org.bulrushvale.kernel.event.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * The peers with which an entry exchanges notices.
 *
 * <p>Thread safety: used on the event loop.
 */
final class NoticePeers implements FleetNotices.Peers {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final EventLoop mLoop;
    private final PeerTransport mTransport;
    private final Supplier<List<String>> mNames;

    NoticePeers(EventLoop loop, PeerTransport transport, Supplier<List<String>> names) {
        mLoop = loop;
        mTransport = transport;
        mNames = names;
    }

    @Override
    public Collection<String> choose(int count) {
        List<String> names = new ArrayList<>(mNames.get());
        Collections.shuffle(names);
        return names.subList(0, Math.min(count, names.size()));
    }

    @Override
    public <R> void request(
            String peer,
            PeerMessage.Notice<R> notice,
            Consumer<PeerMessage.@Nullable Notice<R>> onAnswer) {
        mTransport
                .request(peer, notice, TIMEOUT)
                .whenComplete(
                        (answer, error) ->
                                mLoop.execute(() -> onAnswer.accept(notice.answer(answer))));
    }
}
