package org.bulrushvale.decision.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * Guards against events that are lost, duplicated or incomplete when bytes arrive in chunks of any
 * size.
 */
public class EventSplitterTest {
    private static final String STREAM =
            "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";

    @Test
    public void events_do_not_depend_on_how_the_bytes_are_split() {
        SplittableRandom random = new SplittableRandom(5);
        byte[] bytes = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int run = 0; run < 200; run++) {
            // given
            EventSplitter splitter = new EventSplitter();
            List<Long> ids = new ArrayList<>();
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            // when
            for (int from = 0; from < bytes.length; ) {
                int to = Math.min(bytes.length, from + 1 + random.nextInt(9));
                for (EventSplitter.Event event :
                        splitter.add(Arrays.copyOfRange(bytes, from, to))) {
                    ids.add(event.id());
                    joined.writeBytes(event.bytes());
                }
                from = to;
            }
            // then
            assertThat(ids).containsExactly(1L, 2L, 3L);
            assertThat(joined.toString(StandardCharsets.UTF_8)).isEqualTo(STREAM);
            assertThat(splitter.isInsideEvent()).isFalse();
        }
    }

    @Test
    public void an_event_without_its_blank_line_is_not_complete() {
        EventSplitter splitter = new EventSplitter();
        assertThat(splitter.add("id: 4\ndata: x\n".getBytes(StandardCharsets.UTF_8))).isEmpty();
        assertThat(splitter.isInsideEvent()).isTrue();
    }
}
