package org.bulrushvale.decision.forward;

import java.time.Duration;

/** Creates published backend servers for tests. */
final class TestServers {
    private TestServers() {}

    static PublishedBackend warm(String id, String service, String domain) {
        return backend(id, service, domain, Duration.ZERO, false);
    }

    static PublishedBackend cold(String id, String service, Duration coldLeft) {
        return backend(id, service, "a", coldLeft, false);
    }

    static PublishedBackend leaving(String id, String service) {
        return backend(id, service, "a", Duration.ZERO, true);
    }

    private static PublishedBackend backend(
            String id, String service, String domain, Duration coldLeft, boolean leaving) {
        return new PublishedBackend(
                id, service, id + ".test", 80, "v1", domain, 8, leaving, 1, 1, coldLeft);
    }
}
