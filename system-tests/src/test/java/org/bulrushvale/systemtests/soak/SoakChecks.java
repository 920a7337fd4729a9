package org.bulrushvale.systemtests.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.bulrushvale.systemtests.soak.SoakRequest.Kind;
import org.bulrushvale.systemtests.soak.SoakRequest.Outcome;

/**
 * Judges a soak by what callers and backend servers saw.
 *
 * <p>Thread safety: used by one thread, after callers have ended.
 */
final class SoakChecks {
    // A request sent whole later than this before its connection ends may have crossed the close.
    private static final double LOSS_SLACK = 0.2;

    private final SoakBackends mBackends;
    private final Map<String, List<String>> mBroken = new TreeMap<>();
    private final Map<String, Integer> mCounts = new TreeMap<>();
    private double mCutStreamSent;

    SoakChecks(SoakBackends backends) {
        mBackends = backends;
    }

    /** Returns the histories of what broke each check. */
    Map<String, List<String>> broken() {
        return mBroken;
    }

    String summary() {
        Map<String, Integer> broken = new TreeMap<>();
        mBroken.forEach((check, histories) -> broken.put(check, histories.size()));
        return mCounts + " broken " + broken;
    }

    void checkRequest(Outcome outcome) {
        SoakRequest request = outcome.request();
        List<Double> arrivals = mBackends.arrivals(request);
        count("requests");
        if (outcome.whole()) {
            count("status " + outcome.status());
        } else if (!arrivals.isEmpty()) {
            judgeCut(outcome, arrivals.get(arrivals.size() - 1));
        } else if (outcome.sent() != 0) {
            judgeUnanswered(outcome);
        }
        if (request.kind() != Kind.SAFE) {
            boolean refused = outcome.status() == 429 || outcome.status() == 503;
            report(refused && !arrivals.isEmpty(), "REFUSED_BUT_RAN", outcome);
            report(arrivals.size() > 1, "RAN_TWICE", outcome);
        }
        String id = outcome.answerId();
        boolean foreign = !id.isEmpty() && !id.equals(request.id());
        boolean invented = outcome.status() == 200 && (arrivals.isEmpty() || !outcome.belongs());
        report(foreign || invented, "WRONG_ANSWER", outcome);
        boolean partial = outcome.length() < request.expectedText().length();
        boolean complete = outcome.status() == 200 && outcome.whole();
        report(complete && partial && outcome.belongs(), "CUT_BUT_LOOKS_WHOLE", outcome);
    }

    private void judgeUnanswered(Outcome outcome) {
        if (outcome.end() - outcome.sent() <= LOSS_SLACK) {
            count("crossed the close");
        } else if (outcome.behind() && outcome.sent() == mCutStreamSent) {
            // Pipelined behind a stream that outlived the grace time; no answer may precede its
            // end.
            count("behind a stream that outlived the grace time");
        } else {
            report(true, outcome.behind() ? "PIPELINED_UNANSWERED" : "UNANSWERED", outcome);
        }
    }

    private void judgeCut(Outcome outcome, double arrival) {
        double term = outcome.request().process().term();
        double lastSixth = term + SoakEntry.GRACE * 5 / 6;
        boolean outlivesGrace =
                outcome.request().kind() == Kind.STREAM
                        && term != 0
                        && outcome.sent() <= term + SoakEntry.GRACE * 3 / 8
                        && arrival + outcome.request().runMillis() / 1e3 >= lastSixth;
        if (outlivesGrace && outcome.end() >= lastSixth) {
            count("outlived the grace time");
            mCutStreamSent = outcome.sent();
        } else {
            report(true, outlivesGrace ? "STREAM_CUT_EARLY" : "LOST", outcome);
        }
    }

    void checkProcess(SoakEntry.Life process) {
        if (process.term() != 0) {
            count("stops");
            boolean late = process.isRunning() || process.exit() > process.term() + SoakEntry.GRACE;
            report(late, "STOPPED_LATE", process.history("\"stop"));
        } else {
            report(!process.isRunning(), "ENDED_UNASKED", process.history("\"st"));
        }
    }

    private void count(String name) {
        mCounts.merge(name, 1, Integer::sum);
    }

    private void report(boolean broken, String check, Outcome outcome) {
        if (broken) {
            SoakRequest request = outcome.request();
            List<Double> arrivals = mBackends.arrivals(request);
            String process = request.process().history('"' + request.id() + '"');
            report(true, check, outcome + " arrivals=" + arrivals + "\n    " + process);
        }
    }

    private void report(boolean broken, String check, String history) {
        if (broken) {
            mBroken.computeIfAbsent(check, key -> new ArrayList<>()).add(history);
        }
    }
}
