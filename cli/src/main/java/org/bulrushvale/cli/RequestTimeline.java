package org.bulrushvale.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The log lines of several entries about one request, and about related events around it.
 *
 * <p>Related events are state changes of the entries that handled the request, lost attempts of
 * other requests at the servers that it used, and the disappearance of such a server, from shortly
 * before the request arrived until it ended. Lines are sorted by the entries' clocks, which may
 * differ.
 *
 * <p>Thread safety: not safe; used by the main thread.
 */
final class RequestTimeline {
    // A state change shortly before a request arrives can decide how the request is served.
    private static final Duration LEAD_TIME = Duration.ofSeconds(2);

    // The clocks of the VMs differ slightly.
    private static final Duration CLOCK_SKEW_MARGIN = Duration.ofMillis(200);

    private static final Set<String> STATE_CHANGE_EVENTS =
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

    private final String mRequestId;
    private final List<LogLine> mLines = new ArrayList<>();

    RequestTimeline(String requestId) {
        mRequestId = requestId;
    }

    void add(LogLine line) {
        mLines.add(line);
    }

    /** Returns the lines about the request itself, oldest first. */
    List<LogLine> requestLines() {
        return mLines.stream().filter(this::isRequestLine).sorted(byTime()).toList();
    }

    private boolean isRequestLine(LogLine line) {
        return line.text("request").equals(mRequestId);
    }

    private static Comparator<LogLine> byTime() {
        return Comparator.comparing(LogLine::time);
    }

    /** Returns the lines about related events, oldest first. */
    List<LogLine> relatedLines() {
        List<LogLine> requestLines = requestLines();
        if (requestLines.isEmpty()) {
            return List.of();
        }
        LogLine last = requestLines.get(requestLines.size() - 1);
        Instant from = requestLines.get(0).time().minusMillis(last.number("ms")).minus(LEAD_TIME);
        Instant to = last.time().plus(CLOCK_SKEW_MARGIN);
        Set<String> vms = new HashSet<>();
        Set<String> servers = new HashSet<>();
        for (LogLine line : requestLines) {
            vms.add(line.vm());
            servers.add(line.text("server"));
        }
        servers.remove("");
        return mLines.stream()
                .filter(line -> !line.time().isBefore(from) && !line.time().isAfter(to))
                .filter(line -> !isRequestLine(line))
                .filter(line -> isRelated(line, vms, servers))
                .sorted(byTime())
                .toList();
    }

    private static boolean isRelated(LogLine line, Set<String> vms, Set<String> servers) {
        if (line.event().equals("attempt_lost") || line.event().equals("server_gone")) {
            return servers.contains(line.text("server"));
        }
        return vms.contains(line.vm()) && STATE_CHANGE_EVENTS.contains(line.event());
    }

    /** Returns how the request ended, as far as the lines show it. */
    Ending ending() {
        return Ending.of(requestLines());
    }

    /** How a request ended. */
    enum Ending {
        /** No line shows the end: the entry crashed, or the line is missing. */
        UNKNOWN("no line tells how it ended: the entry died, or the line was left out"),
        /** The request was not admitted. */
        REFUSED("it was not admitted and did not run"),
        /** The entry gave up before it sent the request to a server. */
        NEVER_SENT("it was given up before it was sent to a server and did not run"),
        /** A backend server answered. */
        ANSWERED("a backend server answered it"),
        /** The caller closed the connection. */
        CALLER_LEFT("its caller closed the connection"),
        /** An attempt was lost and must not be repeated, because a server may have run it. */
        OUTCOME_UNKNOWN("a server may have run it, and it was not sent again"),
        /** Every attempt failed, or the deadline passed. */
        FAILED("it was sent and ended without a whole answer");

        private static final int CLIENT_CLOSED_REQUEST_STATUS = 499;

        private final String mDescription;

        Ending(String description) {
            mDescription = description;
        }

        String description() {
            return mDescription;
        }

        private static Ending of(List<LogLine> requestLines) {
            for (LogLine line : requestLines) {
                if (line.event().equals("refused")) {
                    return REFUSED;
                }
                if (line.event().equals("request")) {
                    return ofRequestEnd(line);
                }
            }
            return UNKNOWN;
        }

        private static Ending ofRequestEnd(LogLine endLine) {
            String outcome = endLine.text("outcome");
            if (outcome.equals("answered") || outcome.equals("streamed")) {
                return ANSWERED;
            }
            if (endLine.number("status") == CLIENT_CLOSED_REQUEST_STATUS) {
                return CALLER_LEFT;
            }
            return switch (endLine.text("verdict")) {
                case "NOT_RUN" -> NEVER_SENT;
                case "MAY_HAVE_RUN" -> OUTCOME_UNKNOWN;
                default -> FAILED;
            };
        }
    }
}
