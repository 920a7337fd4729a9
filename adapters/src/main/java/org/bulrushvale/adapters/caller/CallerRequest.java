package org.bulrushvale.adapters.caller;

import java.time.Duration;
import java.util.Optional;

/**
 * A syntactically valid request of a caller. Whether its workspace and class exist is not checked
 * yet.
 *
 * <p>Invariant: holds only the digest of the workspace token, never the token itself. Thread
 * safety: immutable.
 *
 * @param workspace workspace name
 * @param workClass name of the class of work
 * @param input input of the first stage
 * @param maxTokens maximum number of tokens to generate; 0 leaves the limit to the engine
 * @param session session name, empty when there is none
 * @param tokenSha256 SHA-256 of the bearer token in lower-case hexadecimal, empty without a token
 * @param deadline remaining time that the caller sent with the request
 * @param key idempotency key
 * @param stream true when the caller requests an event stream
 */
public record CallerRequest(
        String workspace,
        String workClass,
        String input,
        int maxTokens,
        String session,
        String tokenSha256,
        Optional<Duration> deadline,
        Optional<String> key,
        boolean stream) {
    @Override
    public String toString() {
        return "CallerRequest[workspace=" + workspace + ", class=" + workClass + "]";
    }
}
