package org.bulrushvale.daemon.fleet;

import java.util.List;
import org.bulrushvale.decision.warmup.WarmthAnnouncement;
import org.bulrushvale.decision.warmup.WarmupLimiter;
import org.bulrushvale.kernel.time.Clock;

/**
 * Provides the warmth announcements that gossip sends, and receives those of peers.
 *
 * <p>Thread safety: owned by the event loop.
 */
public interface WarmthExchange {
    /** Returns the announcements made since the last call. */
    List<WarmthAnnouncement> drain();

    /** Returns all known announcements, for a process that has just started. */
    List<WarmthAnnouncement> snapshot();

    /** Merges the announcements of a peer. */
    void merge(List<WarmthAnnouncement> announcements);

    /** Returns an exchange that provides no announcements and ignores those of peers. */
    static WarmthExchange none() {
        return new WarmthExchange() {
            @Override
            public List<WarmthAnnouncement> drain() {
                return List.of();
            }

            @Override
            public List<WarmthAnnouncement> snapshot() {
                return List.of();
            }

            @Override
            public void merge(List<WarmthAnnouncement> announcements) {}
        };
    }

    /** Returns an exchange that is backed by a warm-up limiter. */
    static WarmthExchange of(WarmupLimiter warmupLimiter, Clock clock) {
        return new WarmthExchange() {
            @Override
            public List<WarmthAnnouncement> drain() {
                return warmupLimiter.drainAnnouncements();
            }

            @Override
            public List<WarmthAnnouncement> snapshot() {
                return warmupLimiter.snapshot();
            }

            @Override
            public void merge(List<WarmthAnnouncement> announcements) {
                long now = clock.monotonicNanos();
                announcements.forEach(announcement -> warmupLimiter.merge(announcement, now));
            }
        };
    }
}
