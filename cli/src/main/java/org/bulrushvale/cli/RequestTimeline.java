package org.bulrushvale.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * What the logs of several entries say about one request, and what happened around it.
 *
 * <p>Around it are: changes of what its entries believed, from a little before it came until it
 * ended, and the losses of other requests at the servers that it used. Lines are in the order of
 * the entries' clocks, which may differ.
 *
 * <p>Thread safety: not safe; used by the main thread.
 */
final class RequestTimeline {
    // A view that changed shortly before a request came decided how it was served.
    private static final Duration BEFORE = Duration.ofSeconds(2);

    // Clocks of VMs are close to each other, but not equal.
    private static final Duration CLOCK_MARGIN = Duration.ofMillis(200);

    private static final Set<String> BELIEFS =
            Set.of(
                    "start",
                    "stop",
                    "stopped",
                    "reload",
                    "store_lost",
                    "store_regained",
                    "config",
                    "evacuated",
                    "members");

    private final String mRequest;
    private final List<LogLine> mLines = new ArrayList<>();

    RequestTimeline(String request) {
        mRequest = request;
    }

    void add(LogLine line) {
        mLines.add(line);
    }

    /** Returns the lines about the request itself, oldest first. */
    List<LogLine> own() {
        return mLines.stream().filter(this::isOwn).sorted(byTime()).toList();
    }

    private boolean isOwn(LogLine line) {
        return line.text("request").equals(mRequest);
    }

    private static Comparator<LogLine> byTime() {
        return Comparator.comparing(LogLine::time);
    }

    /** Returns the lines about what happened around the request, oldest first. */
    List<LogLine> around() {
        List<LogLine> own = own();
        if (own.isEmpty()) {
            return List.of();
        }
        LogLine last = own.get(own.size() - 1);
        Instant from = own.get(0).time().minusMillis(last.number("ms")).minus(BEFORE);
        Instant to = last.time().plus(CLOCK_MARGIN);
        Set<String> vms = new HashSet<>();
        Set<String> servers = new HashSet<>();
        for (LogLine line : own) {
            vms.add(line.vm());
            servers.add(line.text("server"));
        }
        servers.remove("");
        return mLines.stream()
                .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
                .filter(line -> !isOwn(line))
                .filter(line -> isAround(line, vms, servers))
                .sorted(byTime())
                .toList();
    }

    private static boolean isAround(LogLine line, Set<String> vms, Set<String> servers) {
        if (line.event().equals("attempt_lost") || line.event().equals("server_gone")) {
            return servers.contains(line.text("server"));
        }
        return vms.contains(line.vm()) && BELIEFS.contains(line.event());
    }

    /** Returns what ended the request, as far as the lines tell. */
    Ending ending() {
        return Ending.of(own());
    }

    /** How a request ended. */
    enum Ending {
        /** No line tells; the entry died or left the line out. */
        UNKNOWN("no line tells how it ended: the entry died, or the line was left out"),
        /** Not admitted. */
        REFUSED("it was not admitted and did not run"),
        /** Given up before it was sent. */
        NEVER_SENT("it was given up before it was sent to a server and did not run"),
        /** A server's own answer. */
        ANSWERED("a backend server answered it"),
        /** The caller went away. */
        CALLER_LEFT("its caller closed the connection"),
        /** An attempt was lost and must not be repeated. */
        OUTCOME_UNKNOWN("a server may have run it, and it was not sent again"),
        /** Every attempt failed, or its time was over. */
        FAILED("it was sent and ended without a whole answer");

        private static final int CLIENT_CLOSED = 499;

        private final String mMeaning;

        Ending(String meaning) {
            mMeaning = meaning;
        }

        String meaning() {
            return mMeaning;
        }

        private static Ending of(List<LogLine> own) {
            for (LogLine line : own) {
                if (line.event().equals("refused")) {
                    return REFUSED;
                }
                if (line.event().equals("request")) {
                    return ofEnd(line);
                }
            }
            return UNKNOWN;
        }

        private static Ending ofEnd(LogLine end) {
            String outcome = end.text("outcome");
            if (outcome.equals("answered") || outcome.equals("streamed")) {
                return ANSWERED;
            }
            if (end.number("status") == CLIENT_CLOSED) {
                return CALLER_LEFT;
            }
            return switch (end.text("verdict")) {
                case "NOT_RUN" -> NEVER_SENT;
                case "MAY_HAVE_RUN" -> OUTCOME_UNKNOWN;
                default -> FAILED;
            };
        }
    }
}
