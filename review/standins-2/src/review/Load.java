package review;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.function.IntConsumer;

/** Starts requests at random times with a mean rate, whatever becomes of the earlier ones. */
final class Load {
    /** Returns the rate at a time since the start, in requests a second. */
    interface Rate {
        double at(Duration elapsed);
    }

    private final ExecutorService callers;
    private final Random random;

    Load(ExecutorService callers, long seed) {
        this.callers = callers;
        random = new Random(seed);
    }

    /** Starts requests, numbered from 0, for a time. */
    void run(Duration time, Rate rate, IntConsumer request) {
        long start = System.nanoTime();
        for (int n = 0; ; n++) {
            Duration elapsed = Duration.ofNanos(System.nanoTime() - start);
            if (elapsed.compareTo(time) > 0) {
                return;
            }
            int number = n;
            callers.execute(() -> request.accept(number));
            double pause = -Math.log(1 - random.nextDouble()) / rate.at(elapsed);
            Runner.sleep(Math.round(pause * 1_000));
        }
    }
}
