package org.bulrushvale.system;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import org.bulrushvale.adapters.platform.PlatformClient;
import org.bulrushvale.adapters.platform.PlatformException;
import org.bulrushvale.decision.membership.Vm;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a malformed answer of the configuration service that yields a wrong VM list. */
public class MalformedPlatformAnswerTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String BODY =
            "{\"version\":1,\"vms\":[{\"name\":\"vm-1\",\"state\":\"live\"}]}";
    private static final String LENGTH = "Content-Length: " + BODY.length() + "\r\n";

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"HTTP/1.1 000 X\r\n" + LENGTH + "\r\n" + BODY},
            {"HTTP/1.1 600 X\r\n" + LENGTH + "\r\n" + BODY},
            {OK + "Content-Length: 5\r\n\r\n" + BODY},
            {OK + "Content-Length: +5\r\n\r\n" + BODY},
            {OK + "Content-Length: 5x\r\n\r\n" + BODY},
            {OK + "Content-Length: 5\r\n" + LENGTH + "\r\n" + BODY},
            {OK + LENGTH + "Content-Length: 5\r\n\r\n" + BODY},
            {OK + LENGTH + "Transfer-Encoding: chunke\r\n\r\n" + RawBackend.chunk(BODY)},
            {OK + "Transfer-Encoding: chunked\r\n\r\n" + RawBackend.chunk(BODY).replace("}", "")},
            {OK + "no field\r\n" + LENGTH + "\r\n" + BODY},
            {OK + "X: y\r\n Content-Length: 5\r\n\r\n" + BODY},
            {OK + "Content Length: 5\r\n\r\n" + BODY},
            {OK + "Content\u0001Length: 5\r\n\r\n" + BODY},
        };
    }

    @Test(dataProvider = "answers")
    public void a_malformed_answer_yields_the_whole_vm_list_or_none(String bytes) throws Exception {
        RawBackend.Script script =
                (call, connection) -> {
                    RawBackend.write(connection, bytes);
                    return false;
                };
        try (RawBackend service = RawBackend.start(script)) {
            URI base = URI.create("http://127.0.0.1:" + service.port());
            PlatformClient client = PlatformClient.create(base, Duration.ofSeconds(2));
            try {
                assertThat(client.vms().vms()).extracting(Vm::name).containsExactly("vm-1");
            } catch (PlatformException e) {
                assertThat(e).hasMessageContaining("/v1/vms");
            }
        }
    }
}
