package org.bulrushvale.daemon.forward;

import java.lang.management.ManagementFactory;
import java.lang.management.MemoryPoolMXBean;
import java.lang.management.MemoryType;
import java.lang.management.MemoryUsage;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import org.bulrushvale.adapters.forward.ForwardServer;
import org.bulrushvale.decision.forward.MemberTable;
import org.bulrushvale.decision.forward.OverloadPolicy;
import org.bulrushvale.kernel.time.Clock;

/**
 * Hands work over to other entries while this one is overloaded, as {@link OverloadPolicy} decides.
 *
 * <p>Thread safety: used on the event loop, except {@link #isNotReady}.
 */
final class LoadShedding {
    // Closed connections come back, here or elsewhere; each costs both sides.
    private static final Duration MIN_CLOSE_PERIOD = Duration.ofSeconds(10);

    private final ForwardServices mServices;
    private final FleetStageExecutor mFleet;
    private final ForwardServer mServer;
    private final OverloadPolicy mPolicy;
    private final Clock mClock;
    private final Optional<MemoryPoolMXBean> mOldGeneration;
    private long mLastCloseNanos;
    private boolean mHandedOver;
    private volatile boolean mOverloaded;
    private volatile long mNotReadyUntilNanos;

    LoadShedding(ForwardServices services, FleetStageExecutor fleet, ForwardServer server) {
        mServices = services;
        mFleet = fleet;
        mServer = server;
        mClock = services.clock();
        mPolicy = new OverloadPolicy(mClock, services.members().self());
        mLastCloseNanos = mClock.nanosBefore(MIN_CLOSE_PERIOD);
        mNotReadyUntilNanos = mClock.monotonicNanos();
        mOldGeneration =
                ManagementFactory.getMemoryPoolMXBeans().stream()
                        .filter(pool -> pool.getType() == MemoryType.HEAP)
                        .filter(pool -> pool.getCollectionUsage() != null)
                        .max(Comparator.comparingLong(pool -> pool.getUsage().getMax()));
        services.metrics().gauge("bulrushvale.overloaded", () -> mOverloaded ? 1 : 0);
    }

    /** Records one period of the event loop, and how late it was. */
    void recordPeriod(Duration delay) {
        double memory = occupiedMemory();
        if (mPolicy.recordPeriod(delay, memory)) {
            mOverloaded = mPolicy.isOverloaded();
            if (mOverloaded) {
                mServices.metrics().count("bulrushvale.overloads");
                closeIdleConnections();
            }
            log(mOverloaded ? "overloaded" : "recovered", delay, memory);
        }
        MemberTable members = mServices.members();
        boolean handOver = mOverloaded && (mHandedOver || members.mostTakeWork());
        if (handOver != mHandedOver) {
            mHandedOver = handOver;
            mFleet.setOverloaded(handOver);
        }
        if (mOverloaded && mPolicy.becomeNotReady(members::ownDomain)) {
            mNotReadyUntilNanos = mClock.nanosAfter(OverloadPolicy.MAX_NOT_READY);
            mServices.metrics().count("bulrushvale.shed.not_ready");
            log("shed_not_ready", delay, memory);
        }
    }

    /**
     * Returns true while this entry reports not ready; may be called from any thread, because the
     * end must not wait for a late event loop.
     */
    boolean isNotReady() {
        return mOverloaded && mNotReadyUntilNanos - mClock.monotonicNanos() > 0;
    }

    private void closeIdleConnections() {
        if (mClock.elapsedSince(mLastCloseNanos).compareTo(MIN_CLOSE_PERIOD) >= 0) {
            mLastCloseNanos = mClock.monotonicNanos();
            mServer.closeIdleConnections();
        }
    }

    /**
     * Returns the part of the old generation that its last collection could not free. The present
     * use also counts garbage.
     */
    private double occupiedMemory() {
        return mOldGeneration.map(LoadShedding::occupied).orElse(0.0);
    }

    private static double occupied(MemoryPoolMXBean pool) {
        MemoryUsage usage = pool.getCollectionUsage();
        return usage.getMax() > 0 ? (double) usage.getUsed() / usage.getMax() : 0;
    }

    private void log(String event, Duration delay, double memory) {
        OverloadPolicy.Domain domain = mServices.members().ownDomain();
        mServices
                .log()
                .line(event)
                .with("delay_ms", delay.toMillis())
                .with("memory_percent", Math.round(100 * memory))
                .with("domain_members", domain.members().size())
                .with("domain_ready_others", domain.readyOthers())
                .writeAlways();
    }
}
