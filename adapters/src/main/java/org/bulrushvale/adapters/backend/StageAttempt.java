package org.bulrushvale.adapters.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Interprets the response to one attempt.
 *
 * <p>Invariant: a result is reported complete only when the engine states so for this attempt id: a
 * whole response with {@code "complete":true}, a stream with its {@code end} event. Thread safety:
 * used by one I/O thread at a time, but for the guard against a second end.
 */
final class StageAttempt implements ExchangeHandler {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int OK = 200;

    private final String mAttemptId;
    private final AttemptListener mListener;
    private final int mMaxBytes;
    private final AtomicBoolean mEnded = new AtomicBoolean();
    private final ByteArrayOutputStream mPending = new ByteArrayOutputStream();
    private long mReceived;
    private int mStatus;
    private boolean mNotRun;
    private boolean mEventStream;
    private String mEvent = "";
    private final StringBuilder mData = new StringBuilder();

    StageAttempt(String attemptId, AttemptListener listener, int maxBytes) {
        mAttemptId = attemptId;
        mListener = listener;
        mMaxBytes = maxBytes;
    }

    @Override
    public void connecting() {
        mListener.connecting();
    }

    @Override
    public boolean sent() {
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
        mReceived += bytes.remaining();
        if (mReceived > mMaxBytes) {
            fail(BackendFailure.TOO_LARGE, "response larger than " + mMaxBytes + " bytes");
            return false;
        }
        while (bytes.hasRemaining()) {
            byte next = bytes.get();
            if (!mEventStream || next != '\n') {
                mPending.write(next);
                continue;
            }
            String line = mPending.toString(StandardCharsets.UTF_8);
            mPending.reset();
            if (!line(line.endsWith("\r") ? line.substring(0, line.length() - 1) : line)) {
                return false;
            }
        }
        return true;
    }

    private boolean line(String line) {
        if (line.startsWith("event:")) {
            mEvent = line.substring("event:".length()).trim();
        } else if (line.startsWith("data:")) {
            mData.append(line.substring("data:".length()).trim());
        } else if (line.isEmpty() && mData.length() > 0) {
            String event = mEvent;
            String data = mData.toString();
            mEvent = "";
            mData.setLength(0);
            return event(event, data);
        }
        return true;
    }

    private boolean event(String event, String data) {
        JsonNode json;
        try {
            json = JSON.readTree(data);
        } catch (JsonProcessingException e) {
            fail(BackendFailure.MALFORMED, "event is not JSON");
            return false;
        }
        String id = json.path("attempt_id").asText();
        if (!id.equals(mAttemptId)) {
            mListener.foreignResponse(id);
            return true;
        }
        if (event.equals("end")) {
            if (mEnded.compareAndSet(false, true)) {
                mListener.streamEnded(json.path("tokens").asLong(0));
            }
        } else if (json.path("offset").isIntegralNumber() && json.path("text").isTextual()) {
            mListener.text(json.path("offset").asLong(), json.path("text").asText());
        } else {
            fail(BackendFailure.MALFORMED, "event without offset or text");
            return false;
        }
        return true;
    }

    @Override
    public void end() {
        if (mNotRun) {
            if (mEnded.compareAndSet(false, true)) {
                mListener.refused(mStatus);
            }
        } else if (mStatus != OK) {
            fail(BackendFailure.STATUS, "status " + mStatus);
        } else if (mEventStream) {
            fail(BackendFailure.TRUNCATED, "stream without end event");
        } else {
            endWhole();
        }
    }

    private void endWhole() {
        JsonNode json;
        try {
            json = JSON.readTree(mPending.toByteArray());
        } catch (java.io.IOException e) {
            fail(BackendFailure.TRUNCATED, "response is not complete JSON");
            return;
        }
        String id = json.path("attempt_id").asText();
        if (!id.equals(mAttemptId)) {
            mListener.foreignResponse(id);
            fail(BackendFailure.FOREIGN, "response belongs to another attempt");
        } else if (!json.path("complete").asBoolean(false)) {
            fail(BackendFailure.TRUNCATED, "response not marked complete");
        } else if (!json.path("output").isTextual()) {
            fail(BackendFailure.MALFORMED, "response without output text");
        } else if (mEnded.compareAndSet(false, true)) {
            mListener.completed(json.path("output").asText(), json.path("tokens").asLong(0));
        }
    }

    @Override
    public void failed(BackendFailure failure, String detail) {
        if (mNotRun) {
            end();
            return;
        }
        fail(failure, detail);
    }

    private void fail(BackendFailure failure, String detail) {
        if (mEnded.compareAndSet(false, true)) {
            mListener.failed(failure, detail);
        }
    }
}
