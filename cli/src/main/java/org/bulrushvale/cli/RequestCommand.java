package org.bulrushvale.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Sends one request to a caller listener and prints the complete answer.
 *
 * <p>Invariant: the token comes from a file or the environment, since other users of the machine
 * can read command lines; it is never printed. Thread safety: not safe; used by the main thread.
 */
@Command(name = "request", description = "Send one request to the caller listener of an entry.")
final class RequestCommand implements Callable<Integer> {
    private static final String TOKEN_VARIABLE = "BULRUSHVALE_TOKEN";

    /** Extra wait after the deadline for the entry's own answer to a missed deadline. */
    private static final int DEADLINE_MARGIN_MS = 1_000;

    @Option(names = "--caller", required = true, paramLabel = "HOST:PORT")
    private String mCallerAddress = "";

    @Option(names = "--workspace", required = true, paramLabel = "NAME")
    private String mWorkspace = "";

    @Option(names = "--class", required = true, paramLabel = "NAME")
    private String mClassName = "";

    @Option(names = "--input", required = true, paramLabel = "TEXT")
    private String mInput = "";

    @Option(names = "--max-tokens", paramLabel = "N")
    private int mMaxTokens;

    @Option(
            names = "--deadline-ms",
            paramLabel = "MS",
            defaultValue = "5000",
            description = "default: 5000")
    private int mDeadlineMs = 5_000;

    @Option(names = "--key", paramLabel = "KEY", description = "idempotency key")
    private String mKey = "";

    @Option(names = "--new-key", description = "obtain an idempotency key first and print it")
    private boolean mNewKey;

    @Option(
            names = "--token-file",
            paramLabel = "FILE",
            description = "default: $" + TOKEN_VARIABLE)
    private @Nullable Path mTokenFile;

    @Mixin private OutputOption mOutput = new OutputOption();

    private final PrintWriter mOut;
    private final PrintWriter mErr;

    RequestCommand(PrintWriter out, PrintWriter err) {
        mOut = out;
        mErr = err;
    }

    @Override
    public Integer call() throws CliException {
        HostPort callerAddress = HostPort.parse(mCallerAddress);
        Map<String, String> headers = new TreeMap<>();
        headers.put("Authorization", "Bearer " + token());
        try (EntryClient client =
                new EntryClient(Duration.ofMillis(mDeadlineMs + DEADLINE_MARGIN_MS))) {
            ObjectNode body = JsonNodeFactory.instance.objectNode();
            body.put("workspace", mWorkspace).put("class", mClassName);
            String key = mKey;
            if (mNewKey) {
                key = client.post(callerAddress, "/v1/keys", headers, body).path("key").asText();
                // Printed before the request is sent, because the operator needs the key to look
                // up a lost answer.
                mErr.println("key: " + key);
                mErr.flush();
            }
            if (!key.isEmpty()) {
                headers.put("Idempotency-Key", key);
            }
            headers.put("X-Deadline-Ms", Integer.toString(mDeadlineMs));
            body.put("input", mInput);
            if (mMaxTokens > 0) {
                body.put("max_tokens", mMaxTokens);
            }
            JsonNode answer = client.post(callerAddress, "/v1/requests", headers, body);
            boolean json = mOutput.isJson();
            mOut.print(json ? answer.toPrettyString() + "\n" : Tables.render(answer));
            mOut.flush();
        }
        return CliException.OK;
    }

    private String token() throws CliException {
        if (mTokenFile != null) {
            try {
                return Files.readString(mTokenFile).strip();
            } catch (IOException e) {
                throw CliException.unreadable(mTokenFile.toString());
            }
        }
        String token = System.getenv(TOKEN_VARIABLE);
        if (token == null) {
            throw CliException.usage("--token-file or $" + TOKEN_VARIABLE + " is required");
        }
        return token;
    }
}
