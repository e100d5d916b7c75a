package org.mangowall.edge.traffic;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EventSplitterTest {

    private static final String EVENTS = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 30\ndata: c\n\n";

    private static String take(EventSplitter splitter, String text) {
        ByteBuf whole = splitter.take(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        return whole.toString(StandardCharsets.UTF_8);
    }

    @Test
    void eventsComeOutWholeWhereverTheBytesAreSplit() {
        for (int split = 0; split <= EVENTS.length(); split++) {
            EventSplitter splitter = new EventSplitter();
            String first = take(splitter, EVENTS.substring(0, split));
            assertTrue(first.isEmpty() || first.endsWith("\n\n") || first.endsWith("\r\n\r\n"), "split " + split);
            assertEquals(EVENTS, first + take(splitter, EVENTS.substring(split)));
            assertEquals(Optional.of("30"), splitter.lastEvent());
            assertFalse(splitter.hasRest());
        }
    }

    @Test
    void aPartOfAnEventIsHeld() {
        EventSplitter splitter = new EventSplitter();
        assertEquals("id: 1\ndata: a\n\n", take(splitter, "id: 1\ndata: a\n\nid: 2\nda"));
        assertEquals(Optional.of("1"), splitter.lastEvent());
        assertTrue(splitter.hasRest());
    }
}
