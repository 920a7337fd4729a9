package org.bulrushvale.daemon.forward;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.bulrushvale.adapters.peer.PeerMessage;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.ObservedSpeed;
import org.bulrushvale.decision.forward.ServerSpeed;
import org.bulrushvale.kernel.event.EventLoop;

/**
 * Shares the observed speed of backend servers with the entries of the same failure domain.
 *
 * <p>Speeds change all the time, so a comparison of digests would nearly always differ. Instead,
 * each entry sends what it knows last to one random member of its domain twice a second, at most 32
 * records of 15 bytes; these include what it learned from others.
 *
 * <p>Thread safety: used on the event loop.
 */
final class SpeedExchange {
    private static final Duration PERIOD = Duration.ofMillis(500);

    private final ServerSpeed mSpeed;
    private final MemberTable mMembers;
    private final SplittableRandom mRandom;
    private final BiConsumer<String, PeerMessage> mSend;

    /** Creates an exchange that sends a message to a member with {@code send}. */
    SpeedExchange(
            ServerSpeed speed,
            MemberTable members,
            SplittableRandom random,
            BiConsumer<String, PeerMessage> send) {
        mSpeed = speed;
        mMembers = members;
        mRandom = random;
        mSend = send;
    }

    void start(EventLoop loop) {
        loop.scheduleWithFixedDelay(PERIOD, this::share);
    }

    /** Sends the speeds to one other member of the failure domain. */
    void share() {
        List<String> members = new ArrayList<>(mMembers.domainReaders());
        members.remove(mMembers.self());
        List<ObservedSpeed> speeds = mSpeed.records(ServerSpeed.MAX_RECORDS_PER_NOTICE);
        if (!members.isEmpty() && !speeds.isEmpty()) {
            String member = members.get(mRandom.nextInt(members.size()));
            mSend.accept(member, new PeerMessage.SpeedNotice(speeds));
        }
    }

    void receive(PeerMessage.SpeedNotice notice) {
        mSpeed.merge(notice.speeds());
    }
}
