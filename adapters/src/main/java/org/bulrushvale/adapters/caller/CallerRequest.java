package org.bulrushvale.adapters.caller;

import java.time.Duration;
import java.util.Optional;

/**
 * A well-formed request of a caller; the workspace and the class are not checked yet.
 *
 * <p>Invariant: holds the digest of the workspace token, never the token. Thread safety: immutable.
 *
 * @param workspace workspace name
 * @param workClass class name
 * @param input input of the first stage
 * @param maxTokens most tokens to generate; 0 leaves it to the engine
 * @param session session name, empty when there is none
 * @param tokenSha256 SHA-256 of the bearer token in lower-case hexadecimal, empty without a token
 * @param deadline remaining time that the caller states
 * @param key idempotency key
 * @param stream true when the caller asks for an event stream
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
