package review;

import java.util.List;

/** Published configuration with the figures of the sheet of the Oathbook deployment. */
final class Deployment {
    static final String HOST = "pule25.example";
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final String TENANT = "bozi300";

    private Deployment() {}

    static String route(
            String name,
            String prefix,
            String kind,
            String service,
            int timeoutMs,
            int targetMs,
            int attempts,
            String more) {
        return ("{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"%s\",\"kind\":\"%s\","
                        + "\"timeoutMs\":%d,\"latencyTargetMs\":%d,\"priority\":1,"
                        + "\"service\":\"%s\",\"maxAttempts\":%d,\"public\":false%s}")
                .formatted(name, HOST, prefix, kind, timeoutMs, targetMs, service, attempts, more);
    }

    /** The route of a seat reservation, which may run once. */
    static String book() {
        return route("seat-book", "/book/", "unsafe", "seatdesk", 1_500, 386, 1, "");
    }

    /** The route of a seat lookup, which may be repeated. */
    static String look() {
        return route("seat-look", "/look/", "safe", "seatdesk", 1_500, 386, 2, "");
    }

    /** The route of a chat, a stream that may be resumed. */
    static String chat() {
        return route(
                "clerk-chat",
                "/chat/",
                "stream",
                "scribe-pool",
                20_000,
                2_500,
                2,
                ",\"sticky\":true,\"resumable\":true,\"gapAimMs\":300");
    }

    static String service(String name, int maxConns, String more) {
        return ("{\"name\":\"%s\",\"healthPath\":\"/healthz\",\"maxConns\":%d,\"protocol\":\"h1\","
                        + "\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0%s}")
                .formatted(name, maxConns, more);
    }

    static String seatdesk() {
        return service("seatdesk", 110, "");
    }

    static String scribePool() {
        return service(
                "scribe-pool",
                620,
                ",\"engine\":{\"slots\":128,\"kvCapacity\":508419,\"tokenKvBytes\":96256,"
                        + "\"linkMbps\":550000.0,\"stride\":5,\"most\":12,\"pinMs\":4000.0,"
                        + "\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}");
    }

    static String config(int version, List<String> routes, List<String> services) {
        return ("{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":{"
                        + "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":["
                        + "{\"name\":\"%s\",\"apiKeys\":[\"%s\"],\"priority\":1}]}")
                .formatted(
                        version,
                        String.join(",", routes),
                        String.join(",", services),
                        TENANT,
                        KEY);
    }

    /** Returns the head of a request without its length. */
    static String head(String method, String target, String id, int deadlineMs, String more) {
        return method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nAttempt-Id: " + id
                + "\r\nDeadline-Ms: " + deadlineMs + "\r\nKey: " + KEY + "\r\n" + more;
    }
}
