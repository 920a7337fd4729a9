package org.bulrushvale.decision.config;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bulrushvale.kernel.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Holds the accepted revision of the published configuration and the latest refused ones.
 *
 * <p>Invariant: the accepted revision only increases; an invalid revision never replaces a valid
 * one; the values of one revision never change. Thread safety: single-writer, used by the event
 * loop only.
 */
public final class ConfigStore {
    private static final int MAX_KEPT_REFUSALS = 16;

    private final Clock mClock;
    private final Deque<RefusedOffer> mRefusals = new ArrayDeque<>();
    private @Nullable PublishedConfig mConfig;
    private Map<String, String> mValues = Map.of();
    private String mDigest = "";
    private long mConfirmedAtNanos;
    private long mOlderOfferCount;

    private ConfigStore(Clock clock) {
        mClock = clock;
    }

    /** Returns a store that holds no configuration yet. */
    public static ConfigStore empty(Clock clock) {
        return new ConfigStore(clock);
    }

    /** Offers a revision that the configuration service has just delivered. */
    public OfferResult offer(long revision, String digest, Map<String, String> values) {
        return offer(revision, digest, values, Duration.ZERO);
    }

    /** Offers a revision that its sender confirmed as the newest one {@code age} ago. */
    public OfferResult offer(
            long revision, String digest, Map<String, String> values, Duration age) {
        PublishedConfig current = mConfig;
        if (current != null && revision < current.revision()) {
            mOlderOfferCount++;
            return OfferResult.OLDER;
        }
        if (current != null && revision == current.revision()) {
            if (!digest.equals(mDigest)) {
                keepRefusal(
                        new RefusedOffer(revision, digest, OfferResult.DIGEST_CONFLICT, List.of()));
                return OfferResult.DIGEST_CONFLICT;
            }
            confirm(revision, age);
            return OfferResult.SAME;
        }
        ParseResult result = ConfigParser.parse(revision, values);
        if (result instanceof ParseResult.Valid valid) {
            mConfig = valid.config();
            mDigest = digest;
            mValues = Map.copyOf(values);
            mConfirmedAtNanos = mClock.nanosBefore(age);
            return OfferResult.ACCEPTED;
        }
        List<ConfigFault> faults = ((ParseResult.Invalid) result).faults();
        keepRefusal(new RefusedOffer(revision, digest, OfferResult.INVALID, faults));
        confirm(revision, age);
        return OfferResult.INVALID;
    }

    private void keepRefusal(RefusedOffer refusal) {
        if (mRefusals.contains(refusal)) {
            return;
        }
        if (mRefusals.size() == MAX_KEPT_REFUSALS) {
            mRefusals.removeFirst();
        }
        mRefusals.addLast(refusal);
    }

    /**
     * Records that a source named this revision as the newest one {@code age} ago. This confirms
     * the accepted revision if it is the named one, or if the named one is newer and was refused as
     * invalid, because the accepted one is then the last valid one. Returns false, and confirms
     * nothing, for any other revision.
     */
    public boolean confirm(long revision, Duration age) {
        PublishedConfig current = mConfig;
        if (current == null
                || revision < current.revision()
                || (revision > current.revision() && !isRefused(revision))) {
            return false;
        }
        long confirmedAt = mClock.nanosBefore(age);
        if (confirmedAt - mConfirmedAtNanos > 0) {
            mConfirmedAtNanos = confirmedAt;
        }
        return true;
    }

    /** Returns true when this revision was refused as invalid, so that it is not fetched again. */
    public boolean isRefused(long revision) {
        return mRefusals.stream()
                .anyMatch(r -> r.revision() == revision && r.reason() == OfferResult.INVALID);
    }

    /** Returns the accepted configuration. */
    public Optional<PublishedConfig> config() {
        return Optional.ofNullable(mConfig);
    }

    /** Returns the accepted revision, -1 when there is none. */
    public long revision() {
        return mConfig == null ? -1 : mConfig.revision();
    }

    /** Returns the digest of the accepted revision, empty when there is none. */
    public String digest() {
        return mDigest;
    }

    /** Returns the published values of the accepted revision by name, for peers that fetch them. */
    public Map<String, String> values() {
        return mValues;
    }

    /** Returns the time since a source last confirmed the accepted revision. */
    public Optional<Duration> confirmationAge() {
        return mConfig == null
                ? Optional.empty()
                : Optional.of(mClock.elapsedSince(mConfirmedAtNanos));
    }

    /** Returns true when there is no configuration, or it was not confirmed within the limit. */
    public boolean isOlderThan(Duration limit) {
        return confirmationAge().map(age -> age.compareTo(limit) > 0).orElse(true);
    }

    /** Returns the latest refused offers, oldest first. */
    public List<RefusedOffer> refusals() {
        return new ArrayList<>(mRefusals);
    }

    /** Returns how many offers had a lower revision than the accepted one. */
    public long olderOfferCount() {
        return mOlderOfferCount;
    }

    /**
     * Outcome of an offer.
     *
     * <p>Thread safety: immutable.
     */
    public enum OfferResult {
        /** The revision is now in force. */
        ACCEPTED,
        /** A lower revision than the accepted one; ignored. */
        OLDER,
        /** The accepted revision again; counts as a confirmation. */
        SAME,
        /** The accepted revision with other content; refused. */
        DIGEST_CONFLICT,
        /** The values have faults; the accepted revision stays in force. */
        INVALID
    }

    /**
     * A refused offer, for the status report.
     *
     * <p>Thread safety: immutable.
     *
     * @param revision revision offered
     * @param digest its digest
     * @param reason {@link OfferResult#INVALID} or {@link OfferResult#DIGEST_CONFLICT}
     * @param faults faults of the values, empty for a digest conflict
     */
    public record RefusedOffer(
            long revision, String digest, OfferResult reason, List<ConfigFault> faults) {
        public RefusedOffer {
            faults = List.copyOf(faults);
        }
    }
}
