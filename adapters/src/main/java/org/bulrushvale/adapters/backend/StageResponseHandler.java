package org.bulrushvale.adapters.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Decodes the response to one attempt and reports it to the attempt's listener.
 *
 * <p>Invariant: a result is reported as complete only when the engine says so for this attempt id:
 * by {@code "complete":true} in a whole response or by the {@code end} event of a stream; a refusal
 * counts only when it names this attempt. Thread safety: used by one I/O thread at a time, except
 * {@code mEnded}, which is atomic and prevents a second end.
 */
final class StageResponseHandler implements ExchangeHandler {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    private final String mAttemptId;
    private final AttemptListener mListener;
    private final int mMaxResponseBytes;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private final ByteArrayOutputStream mPendingBytes = new ByteArrayOutputStream();
    private long mReceivedBytes;
    private int mStatus;
    private boolean mNotRun;
    private boolean mEventStream;
    private boolean mOwnEventReceived;
    private String mEventName = "";
    private final StringBuilder mEventData = new StringBuilder();

    StageResponseHandler(String attemptId, AttemptListener listener, int maxBytes) {
        mAttemptId = attemptId;
        mListener = listener;
        mMaxResponseBytes = maxBytes;
    }

    @Override
    public void connecting() {
        mListener.connecting();
    }

    @Override
    public boolean beforeSend() {
        return mListener.beforeSend();
    }

    @Override
    public void head(int status, boolean notRun, boolean eventStream) {
        mStatus = status;
        mNotRun = notRun;
        mEventStream = eventStream && status == OK;
    }

    @Override
    public boolean body(ByteBuffer bytes) {
        mReceivedBytes += bytes.remaining();
        if (mReceivedBytes > mMaxResponseBytes) {
            fail(
                    BackendFailure.TOO_LARGE,
                    "response is larger than " + mMaxResponseBytes + " bytes");
            return false;
        }
        while (bytes.hasRemaining()) {
            byte nextByte = bytes.get();
            if (!mEventStream || nextByte != '\n') {
                mPendingBytes.write(nextByte);
                continue;
            }
            String line = mPendingBytes.toString(StandardCharsets.UTF_8);
            mPendingBytes.reset();
            if (!processLine(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line)) {
                return false;
            }
        }
        return true;
    }

    private boolean processLine(String line) {
        if (line.startsWith("event:")) {
            mEventName = line.substring("event:".length()).trim();
        } else if (line.startsWith("data:")) {
            mEventData.append(line.substring("data:".length()).trim());
        } else if (line.isEmpty() && mEventData.length() > 0) {
            String eventName = mEventName;
            String data = mEventData.toString();
            mEventName = "";
            mEventData.setLength(0);
            return processEvent(eventName, data);
        }
        return true;
    }

    private boolean processEvent(String eventName, String data) {
        JsonNode json;
        try {
            json = JSON.readTree(data);
        } catch (JsonProcessingException e) {
            fail(BackendFailure.MALFORMED, "stream event is not valid JSON");
            return false;
        }
        String id = json.path("attempt_id").asText();
        if (!id.equals(mAttemptId)) {
            mListener.foreignResponse(id);
            return true;
        }
        mOwnEventReceived = true;
        if (eventName.equals("end")) {
            if (mEnded.compareAndSet(false, true)) {
                mListener.streamEnded(json.path("tokens").asLong(0));
            }
        } else if (json.path("offset").isIntegralNumber() && json.path("text").isTextual()) {
            mListener.text(json.path("offset").asLong(), json.path("text").asText());
        } else {
            fail(BackendFailure.MALFORMED, "stream event has no offset or no text");
            return false;
        }
        return true;
    }

    /** After the end of a stream only the rest of the framing is due. */
    @Override
    public boolean extendsTimeLimit() {
        return !mEnded.get();
    }

    @Override
    public boolean isIdentified() {
        return mEventStream
                ? mOwnEventReceived
                : wholeResponse().path("attempt_id").asText().equals(mAttemptId);
    }

    @Override
    public void end() {
        if (mNotRun) {
            endRefused();
        } else if (mStatus != OK) {
            fail(BackendFailure.STATUS, "response has status " + mStatus);
        } else if (mEventStream) {
            fail(BackendFailure.TRUNCATED, "stream ended without an end event");
        } else {
            completeWholeResponse();
        }
    }

    /** A late copy of the refusal of an earlier attempt says nothing about this one. */
    private void endRefused() {
        String id = wholeResponse().path("attempt_id").asText();
        if (!id.equals(mAttemptId)) {
            mListener.foreignResponse(id);
            fail(BackendFailure.FOREIGN, "refusal does not name this attempt");
        } else if (mEnded.compareAndSet(false, true)) {
            mListener.refused(mStatus);
        }
    }

    /** Returns the whole body as JSON; a missing node when it is not valid JSON. */
    private JsonNode wholeResponse() {
        try {
            return JSON.readTree(mPendingBytes.toByteArray());
        } catch (java.io.IOException e) {
            return MissingNode.getInstance();
        }
    }

    private void completeWholeResponse() {
        JsonNode json = wholeResponse();
        if (json.isMissingNode()) {
            fail(BackendFailure.TRUNCATED, "response body is not complete JSON");
            return;
        }
        String id = json.path("attempt_id").asText();
        if (!id.equals(mAttemptId)) {
            mListener.foreignResponse(id);
            fail(BackendFailure.FOREIGN, "response belongs to another attempt");
        } else if (!json.path("complete").asBoolean(false)) {
            fail(BackendFailure.TRUNCATED, "response is not marked as complete");
        } else if (!json.path("output").isTextual()) {
            fail(BackendFailure.MALFORMED, "response has no output text");
        } else if (mEnded.compareAndSet(false, true)) {
            mListener.completed(json.path("output").asText(), json.path("tokens").asLong(0));
        }
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        fail(failure, detail);
    }

    private void fail(BackendFailure failure, String detail) {
        if (mEnded.compareAndSet(false, true)) {
            mListener.failed(failure, detail);
        }
    }
}
