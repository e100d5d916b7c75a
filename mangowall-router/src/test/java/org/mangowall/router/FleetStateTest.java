package org.mangowall.router;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangowall.inventory.Inventory;
import org.mangowall.policy.event.DecisionEvent;
import org.mangowall.router.decision.DecisionSink;

import static org.junit.jupiter.api.Assertions.assertEquals;

class FleetStateTest {

    private final List<Long> visibleVersionsAtPosts = new ArrayList<>();
    private final FleetState state = new FleetState(new RecordingSink());

    /** Records the version visible to callers at the time each event is posted to the decisions. */
    private final class RecordingSink implements DecisionSink {

        @Override
        public boolean offer(DecisionEvent event) {
            post(event);
            return true;
        }

        @Override
        public void post(DecisionEvent event) {
            visibleVersionsAtPosts.add(state.inventory().version());
        }
    }

    @Test
    void aVersionReachesTheDecisionsBeforeItIsVisible() {
        state.install(Inventory.builder(3).build());
        assertEquals(List.of(0L), visibleVersionsAtPosts);
        assertEquals(3, state.inventory().version());
    }

    @Test
    void anOlderVersionIsIgnored() {
        state.install(Inventory.builder(3).build());
        state.install(Inventory.builder(2).build());
        assertEquals(1, visibleVersionsAtPosts.size());
        assertEquals(3, state.inventory().version());
    }
}
