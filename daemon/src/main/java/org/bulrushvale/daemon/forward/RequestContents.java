package org.bulrushvale.daemon.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.adapters.forward.CallerExchange;
import org.bulrushvale.adapters.forward.CallerRequestMetadata;
import org.bulrushvale.decision.retry.ContentFingerprint;

/**
 * The contents of a request that may crash backend servers: each part of its prompt, whoever sends
 * it, and the whole request of its workspace.
 *
 * <p>Invariant: the whole request is digested only when it is asked for, because its body may be
 * long. Thread safety: not safe; used on the event loop.
 */
final class RequestContents {
    private final CallerExchange mCaller;
    private final String mWorkspace;
    private final List<ContentFingerprint> mParts;
    private final List<String> mPartIds;
    private List<ContentFingerprint> mAll = List.of();

    RequestContents(
            CallerExchange caller,
            CallerRequestMetadata metadata,
            String service,
            String workspace) {
        mCaller = caller;
        mWorkspace = workspace;
        mPartIds = metadata.promptParts();
        mParts =
                mPartIds.stream()
                        .map(id -> ContentFingerprint.of(service, "part", utf8(id)))
                        .toList();
    }

    private static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the parts of the prompt, in order. */
    List<ContentFingerprint> parts() {
        return mParts;
    }

    /** Returns the parts of the prompt and the whole request. */
    List<ContentFingerprint> all() {
        if (mAll.isEmpty()) {
            List<ContentFingerprint> all = new ArrayList<>(mParts);
            String kind = "request " + mCaller.target() + "\n";
            all.add(ContentFingerprint.of(mWorkspace, kind, mCaller.body()));
            mAll = List.copyOf(all);
        }
        return mAll;
    }

    /** Returns a name for logs: the id of a part of the prompt, or "request". */
    String nameOf(ContentFingerprint content) {
        int part = mParts.indexOf(content);
        return part < 0 ? "request" : mPartIds.get(part);
    }
}
