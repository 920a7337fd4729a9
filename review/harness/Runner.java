import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound runner: answers with the id of the request, its proof and a body that names the path. */
class Runner implements AutoCloseable {
    final String mId;
    final String mService;
    final Case mCase;
    final AtomicInteger mRuns = new AtomicInteger();
    Http mHttp;

    Runner(Case test, String id, String service) throws IOException {
        mCase = test;
        mId = id;
        mService = service;
        mHttp = new Http(this::handle);
    }

    String registration(String more) {
        return Case.server(mService, mHttp.address(), "zone-a", 8, more);
    }

    private boolean handle(Http.Request request, Http.Connection connection) throws Exception {
        String expected = request.header("Expect-Instance");
        if (!expected.isEmpty() && !expected.equals(mId)) {
            connection.respond(421, "Instance-Id: " + mId + "\r\n", "");
            return true;
        }
        if (request.target().equals("/healthz")) {
            connection.respond(200, "Instance-Id: " + mId + "\r\n", "");
            return true;
        }
        mRuns.incrementAndGet();
        mCase.note(
                "run   server " + mId + " " + request.method() + " " + request.target() + " id "
                        + request.header("Attempt-Id") + " tenant '" + request.header("Tenant")
                        + "' body " + request.body().length + " bytes");
        return run(request, connection);
    }

    /** Runs a request; a subclass may do so wrongly, late or not at all. */
    boolean run(Http.Request request, Http.Connection connection) throws Exception {
        connection.respond(200, proof(request), "ran " + request.target());
        return true;
    }

    static String proof(Http.Request request) {
        return "Attempt-Id: " + request.header("Attempt-Id") + "\r\nResponse-Stamp: 3e1b.07."
                + request.header("Attempt-Id") + "\r\n";
    }

    @Override
    public void close() {
        mHttp.close();
    }
}
