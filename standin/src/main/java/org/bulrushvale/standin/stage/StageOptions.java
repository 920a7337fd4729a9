package org.bulrushvale.standin.stage;

import java.time.Duration;

/**
 * Fixed properties of a backend server stand-in.
 *
 * <p>Invariant: {@code 1 <= bearable <= slots}. Thread safety: immutable.
 *
 * @param name server name in load reports
 * @param host address to bind
 * @param port port to bind, 0 for any free one
 * @param slots concurrent calls
 * @param bearable concurrent calls that a cold server survives
 * @param queueLimit calls that may wait for a slot; more are refused
 * @param coldCompletions completed calls after which a started server is warm; 0: warm at once
 * @param baseTime service time before the first token
 * @param tokenTime time per token when the server is otherwise idle
 * @param defaultTokens tokens of an answer when the call does not limit them
 * @param cacheBytes memory of the prefix cache; 0: no cache
 * @param haltOnCrash true: a requested crash ends the process
 * @param seed seed of all random choices
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
            throw new IllegalArgumentException("1 <= bearable <= slots does not hold");
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

        /** Sets the number of concurrent calls. */
        public Builder slots(int slots) {
            mSlots = slots;
            mBearable = Math.min(mBearable, slots);
            return this;
        }

        /** Sets the number of concurrent calls that a cold server survives. */
        public Builder bearable(int bearable) {
            mBearable = bearable;
            return this;
        }

        /** Sets the number of calls that may wait. */
        public Builder queueLimit(int queueLimit) {
            mQueueLimit = queueLimit;
            return this;
        }

        /** Sets the number of completed calls until warm. */
        public Builder coldCompletions(int coldCompletions) {
            mColdCompletions = coldCompletions;
            return this;
        }

        /** Sets the service time before the first token. */
        public Builder baseTime(Duration baseTime) {
            mBaseTime = baseTime;
            return this;
        }

        /** Sets the time per token. */
        public Builder tokenTime(Duration tokenTime) {
            mTokenTime = tokenTime;
            return this;
        }

        /** Sets the tokens of an answer without a limit. */
        public Builder defaultTokens(int defaultTokens) {
            mDefaultTokens = defaultTokens;
            return this;
        }

        /** Sets the memory of the prefix cache. */
        public Builder cacheBytes(long cacheBytes) {
            mCacheBytes = cacheBytes;
            return this;
        }

        /** Makes a requested crash end the process. */
        public Builder haltOnCrash(boolean haltOnCrash) {
            mHaltOnCrash = haltOnCrash;
            return this;
        }

        /** Sets the seed. */
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
