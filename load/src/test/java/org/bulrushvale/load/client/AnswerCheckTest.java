package org.bulrushvale.load.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bulrushvale.load.client.RequestOutcome.Kind;
import org.testng.annotations.Test;

/** Guards against counting an incomplete or wrong answer as complete. */
public class AnswerCheckTest {
    private static final String TOKEN_0 = "data: {\"offset\":0,\"text\":\"r1 a\"}";
    private static final String TOKEN_1 = "data: {\"offset\":1,\"text\":\"b\"}";
    private static final String END_DATA =
            "data: {\"request_id\":\"r1\",\"verdict\":\"RAN\",\"tokens\":2,\"stages\":[]}";

    private static RequestOutcome checkStream(String... lines) {
        List<String> body = new ArrayList<>();
        for (String line : lines) {
            body.add(line);
            if (line.startsWith("data:")) {
                body.add("");
            }
        }
        return new AnswerCheck(true).check(200, true, body);
    }

    private static Kind checkBody(int status, String body) {
        return new AnswerCheck(true).check(status, false, List.of(body)).kind();
    }

    @Test
    public void stream_is_complete_only_with_an_end_event() {
        assertThat(checkStream(TOKEN_0, TOKEN_1, "event: end", END_DATA).kind())
                .isEqualTo(Kind.COMPLETE);
        assertThat(checkStream(TOKEN_0, TOKEN_1).kind()).isEqualTo(Kind.CUT);
    }

    @Test
    public void stream_with_missing_or_repeated_tokens_is_invalid() {
        assertThat(checkStream(TOKEN_0, "event: end", END_DATA).kind()).isEqualTo(Kind.INVALID);
        assertThat(checkStream(TOKEN_1, "event: end", END_DATA).kind()).isEqualTo(Kind.INVALID);
        assertThat(checkStream(TOKEN_0, TOKEN_0, "event: end", END_DATA).kind())
                .isEqualTo(Kind.INVALID);
    }

    @Test
    public void output_without_its_request_id_is_invalid() {
        String body = "{\"request_id\":\"%s\",\"verdict\":\"RAN\",\"output\":\"r1\",\"tokens\":1}";
        assertThat(checkBody(200, String.format(body, "r1"))).isEqualTo(Kind.COMPLETE);
        assertThat(checkBody(200, String.format(body, "r2"))).isEqualTo(Kind.INVALID);
    }

    @Test
    public void refusal_without_a_known_verdict_is_invalid() {
        String body =
                "{\"title\":\"t\",\"status\":429,\"code\":\"OVERLOADED\",\"verdict\":\"%s\","
                        + "\"advice\":\"RETRY\"}";
        assertThat(checkBody(429, String.format(body, "NOT_RUN"))).isEqualTo(Kind.REFUSED);
        assertThat(checkBody(429, String.format(body, "PERHAPS"))).isEqualTo(Kind.INVALID);
        assertThat(checkBody(502, "<html>")).isEqualTo(Kind.INVALID);
    }
}
