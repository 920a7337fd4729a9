package org.bulrushvale.standin.stage;

import java.time.Duration;

/**
 * Properties of a simulated backend server that stay fixed while it runs.
 *
 * <p>Invariant: {@code 1 <= bearable <= slots}. Thread safety: immutable.
 *
 * @param name server name in load reports and thread names
 * @param host address to bind
 * @param port port to bind, 0 for any free one
 * @param slots largest number of calls that run at the same time
 * @param bearable largest load (running and queued calls) that a cold server survives
 * @param queueLimit calls that may wait for a slot; more are refused
 * @param coldCompletions completed calls until a cold server is warm; 0: it starts warm
 * @param baseTime service time before the first token
 * @param tokenTime time per token when no other call runs
 * @param defaultTokens number of tokens of an answer when the call gives no limit
 * @param cacheBytes memory limit of the prefix cache; 0: no cache
 * @param haltOnCrash true: a halt requested at {@code /control} ends the process; false: it only
 *     closes the server
 * @param seed seed of the random generator that selects calls and events for faults
 */
public record StageOptions(
        String name,
        String host,
        int port,
        int slots,
        int bearable,
        int queueLimit,
        int coldCompletions,
        Duration baseTime,
        Duration tokenTime,
        int defaultTokens,
        long cacheBytes,
        boolean haltOnCrash,
        long seed) {

    public StageOptions {
        if (bearable < 1 || bearable > slots) {
            throw new IllegalArgumentException("bearable must be at least 1 and at most slots");
        }
    }

    /** Returns a builder with the values of a small, warm server. */
    public static Builder builder() {
        return new Builder();
    }

    /** Collects the options. Thread safety: not safe; used by one thread. */
    public static final class Builder {
        private String mName = "standin";
        private String mHost = "127.0.0.1";
        private int mPort;
        private int mSlots = 8;
        private int mBearable = 2;
        private int mQueueLimit = 64;
        private int mColdCompletions;
        private Duration mBaseTime = Duration.ofMillis(5);
        private Duration mTokenTime = Duration.ofMillis(2);
        private int mDefaultTokens = 16;
        private long mCacheBytes;
        private boolean mHaltOnCrash;
        private long mSeed = 1;

        private Builder() {}

        /** Sets the server name. */
        public Builder name(String name) {
            mName = name;
            return this;
        }

        /** Sets the address to bind. */
        public Builder host(String host) {
            mHost = host;
            return this;
        }

        /** Sets the port to bind. */
        public Builder port(int port) {
            mPort = port;
            return this;
        }

        /** Sets the largest number of calls that run at the same time. */
        public Builder slots(int slots) {
            mSlots = slots;
            mBearable = Math.min(mBearable, slots);
            return this;
        }

        /** Sets the largest load (running and queued calls) that a cold server survives. */
        public Builder bearable(int bearable) {
            mBearable = bearable;
            return this;
        }

        /** Sets the number of calls that may wait for a slot. */
        public Builder queueLimit(int queueLimit) {
            mQueueLimit = queueLimit;
            return this;
        }

        /** Sets the number of completed calls until a cold server is warm. */
        public Builder coldCompletions(int coldCompletions) {
            mColdCompletions = coldCompletions;
            return this;
        }

        /** Sets the service time before the first token. */
        public Builder baseTime(Duration baseTime) {
            mBaseTime = baseTime;
            return this;
        }

        /** Sets the time per token when no other call runs. */
        public Builder tokenTime(Duration tokenTime) {
            mTokenTime = tokenTime;
            return this;
        }

        /** Sets the number of tokens of an answer when the call gives no limit. */
        public Builder defaultTokens(int defaultTokens) {
            mDefaultTokens = defaultTokens;
            return this;
        }

        /** Sets the memory limit of the prefix cache in bytes; 0 means no cache. */
        public Builder cacheBytes(long cacheBytes) {
            mCacheBytes = cacheBytes;
            return this;
        }

        /** Sets whether a halt requested at {@code /control} ends the process. */
        public Builder haltOnCrash(boolean haltOnCrash) {
            mHaltOnCrash = haltOnCrash;
            return this;
        }

        /** Sets the seed of the random generator that selects calls and events for faults. */
        public Builder seed(long seed) {
            mSeed = seed;
            return this;
        }

        /** Returns the options. */
        public StageOptions build() {
            return new StageOptions(
                    mName,
                    mHost,
                    mPort,
                    mSlots,
                    mBearable,
                    mQueueLimit,
                    mColdCompletions,
                    mBaseTime,
                    mTokenTime,
                    mDefaultTokens,
                    mCacheBytes,
                    mHaltOnCrash,
                    mSeed);
        }
    }
}
